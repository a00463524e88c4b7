#pragma once

#include "cr_configuration/cr_configuration.h"
#include "cr_core/cr_core.h"

namespace cr {

/** The configuration in force at a node; it only ever moves forward.

    Thread safe. */
class ConfigurationHolder
{
public:
  /** Puts a configuration into force. Returns false, and changes nothing, when
      it is not newer than the one in force. */
  bool Adopt(ConfigurationPointer aConfiguration)
  {
    return m_current.WithLock([&](ConfigurationPointer& aCurrent) {
      if (aConfiguration->m_generation <= aCurrent->m_generation) {
        return false;
      }
      aCurrent = std::move(aConfiguration);
      return true;
    });
  }

  /** Returns the configuration in force; generation 0 has no services. */
  ConfigurationPointer Current() const
  {
    return m_current.WithLock(
      [](const ConfigurationPointer& aCurrent) { return aCurrent; });
  }

private:
  Guarded<ConfigurationPointer> m_current{ std::make_shared<Configuration>() };
};

}
