#pragma once

#include <map>
#include <string>

#include "cr_core/cr_core.h"

namespace cr {

/** Distinguishes routes of child calls, which backend servers make to each
    other, from routes that customers use.

    Customers are on every host. A route of child calls is used only on the
    hosts of the services that make these calls. So a route without any requests
    from the hosts of some services is a route of child calls, once it has had
    so many requests that customers on those hosts would have sent some. A route
    that has both kinds of requests counts as a customer route. Not thread
    safe. */
class RouteOrigins
{
public:
  /** Number of hosts of each service. */
  using HostCounts = std::map<std::string, std::size_t, std::less<>>;

  /** Counts a request of the route from a host of the service. */
  void Count(const std::string& aRoute,
             const std::string& aService,
             Instant aNow);

  /** Returns whether the route is used for child calls only. */
  bool IsChildCallRoute(const std::string& aRoute,
                        const HostCounts& aHosts) const;

private:
  struct Origins
  {
    double m_total = 0;
    std::map<std::string, double, std::less<>> m_services;
    Instant m_decayedAt;
  };

  std::map<std::string, Origins, std::less<>> m_routes;
};

}
