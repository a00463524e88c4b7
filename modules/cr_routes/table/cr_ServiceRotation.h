#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cr_routes/table/cr_RouteConfiguration.h"

namespace cr {

/** Distributes a route's requests over its services in proportion to their
    weights.

    Each route's position in the unit interval advances by the golden ratio,
    modulo 1, from a random start. Multiples of the golden ratio are distributed
    more evenly than those of any other number (Steinhaus' three-distance
    theorem). With random starts the shares also hold over many nodes with few
    requests each. Not thread safe. */
class ServiceRotation
{
public:
  /** aSeed determines the routes' start positions. */
  explicit ServiceRotation(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  /** Returns the service for the next request of the route. The name is
      valid as long as the route. */
  const std::string& Next(const RouteDescription& aRoute);

private:
  Random m_random;
  std::map<std::string, double, std::less<>> m_positions;
};

}
