#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cr_routes/table/cr_RouteConfiguration.h"

namespace cr {

/** Spreads a route's requests over its services in proportion to their weights.

    Each route walks the unit interval in steps of the golden ratio, whose
    multiples are spread more evenly than those of any other number (Steinhaus'
    three-distance theorem), from a random start; a node with few requests keeps
    the shares together with the others. Not thread safe. */
class ServiceRotation
{
public:
  /** The seed gives the starts. */
  explicit ServiceRotation(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  /** Returns the service for the next request of the route. The text lives as
      long as the route. */
  const std::string& Next(const RouteDescription& aRoute);

private:
  Random m_random;
  std::map<std::string, double, std::less<>> m_positions;
};

}
