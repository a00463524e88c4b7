#pragma once

#include "cr_routes/table/cr_RouteTable.h"

namespace cr {

/** Holds the active routes. An older configuration never replaces a newer one.
    Not thread safe. */
class RouteHolder
{
public:
  /** Activates the configuration if it is newer than the active one. Returns
      whether it did. Requests that hold the former table keep it. */
  bool Adopt(RouteConfiguration aConfiguration);

  //==========================================================================
  /** Returns the active table, which has generation 0 when there is none yet.
   */
  const RouteTablePointer& Current() const { return m_current; }

  /** Returns the active generation; 0 when there is none. */
  Generation ActiveGeneration() const
  {
    return m_current->Configuration().m_generation;
  }

private:
  RouteTablePointer m_current = std::make_shared<RouteTable>();
};

}
