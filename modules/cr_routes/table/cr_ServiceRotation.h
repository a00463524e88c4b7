#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cr_routes/table/cr_RouteConfiguration.h"

namespace cr {

/** Spreads a route's requests over its services in proportion to their weights
    (smooth weighted round robin): after any number of requests each service is
    less than one request per service away from its share. Not thread safe. */
class ServiceRotation
{
public:
  /** Starts at a random point of the rotation, so that several nodes with few
      requests each keep the shares together. */
  explicit ServiceRotation(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  /** Returns the service for the next request of the route. The text lives as
      long as the route. A route whose services or weights changed starts
      anew. */
  const std::string& Next(const RouteDescription& aRoute);

private:
  struct Turn
  {
    std::vector<WeightedService> m_services;
    std::vector<double> m_credits;
  };

  void Restart(Turn& aTurn, const RouteDescription& aRoute);

  Random m_random;
  std::map<std::string, Turn, std::less<>> m_turns;
};

}
