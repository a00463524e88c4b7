#pragma once

#include "cr_configuration/cr_configuration.h"
#include "cr_core/cr_core.h"

namespace cr {

/** Holds the active configuration of a node; its generation never decreases.

    Thread safe. */
class ConfigurationHolder
{
public:
  /** Activates a configuration. Returns false, and changes nothing, when it is
      not newer than the active one. */
  bool Activate(ConfigurationPointer aConfiguration)
  {
    return m_current.WithLock([&](ConfigurationPointer& aCurrent) {
      if (aConfiguration->m_generation <= aCurrent->m_generation) {
        return false;
      }
      aCurrent = std::move(aConfiguration);
      return true;
    });
  }

  /** Returns the active configuration; before the first activation it has
      generation 0 and no services. */
  ConfigurationPointer Current() const
  {
    return m_current.WithLock(
      [](const ConfigurationPointer& aCurrent) { return aCurrent; });
  }

private:
  Guarded<ConfigurationPointer> m_current{ std::make_shared<Configuration>() };
};

}
