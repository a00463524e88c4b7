#pragma once

#include "cr_routes/table/cr_RouteTable.h"

namespace cr {

/** Holds the routes in force. It only goes forward: an older configuration can
    not replace a newer one. Not thread safe. */
class RouteHolder
{
public:
  /** Takes the configuration in force when it is newer than the present one.
      Returns whether it did. Requests that hold the former table keep it. */
  bool Adopt(RouteConfiguration aConfiguration);

  //==========================================================================
  /** Returns the table in force; of generation 0 when there is none yet. */
  const RouteTablePointer& Current() const { return m_current; }

  /** Returns the generation in force; 0 when there is none. */
  Generation InForce() const { return m_current->Configuration().m_generation; }

private:
  RouteTablePointer m_current = std::make_shared<RouteTable>();
};

}
