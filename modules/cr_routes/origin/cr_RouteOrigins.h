#pragma once

#include <map>
#include <string>

#include "cr_core/cr_core.h"

namespace cr {

/** Tells routes by which backend servers call each other from routes that
    customers use.

    Customers are on every host. A route by which servers call is used on the
    hosts of the services that make the call, and on no others. So a route whose
    requests never come from the hosts of some services is a route of calls,
   once there have been so many requests that customers on those hosts would
   have sent some. A route that both use counts as the customers'. Not thread
   safe. */
class RouteOrigins
{
public:
  /** Number of hosts of each service. */
  using HostCounts = std::map<std::string, std::size_t, std::less<>>;

  /** Counts a request of the route that came from a host of the service. */
  void Count(const std::string& aRoute,
             const std::string& aService,
             Instant aNow);

  /** Returns whether the route is one by which servers call each other. */
  bool IsCalled(const std::string& aRoute, const HostCounts& aHosts) const;

private:
  struct Origins
  {
    double m_total = 0;
    std::map<std::string, double, std::less<>> m_services;
    Instant m_fadedAt;
  };

  std::map<std::string, Origins, std::less<>> m_routes;
};

}
