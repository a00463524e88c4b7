#include "cr_routes/origin/cr_RouteOrigins.h"

#include <cmath>

namespace cr {

namespace {

/* Limits on the tracked routes and the services of each; further ones are not
   tracked. */
constexpr std::size_t kRouteLimit = 4096;
constexpr std::size_t kServiceLimit = 256;
/* Counts are halved after this time, so that a change of use is detected. */
constexpr Duration kHalfLife = Seconds(4);
/* Counts below this part of a request are removed. */
constexpr double kMinCount = 0.2;
/* Maximum probability of classifying a customer route as a route of child
   calls. */
constexpr double kMaxErrorProbability = 1e-4;

}

void
RouteOrigins::Count(const std::string& aRoute,
                    const std::string& aService,
                    Instant aNow)
{
  if (m_routes.size() >= kRouteLimit && !m_routes.contains(aRoute)) {
    return;
  }
  Origins& origins = m_routes[aRoute];
  if (aNow - origins.m_decayedAt >= kHalfLife) {
    origins.m_decayedAt = aNow;
    origins.m_total /= 2;
    for (auto& [service, count] : origins.m_services) {
      count /= 2;
    }
    std::erase_if(origins.m_services,
                  [](const auto& aCount) { return aCount.second < kMinCount; });
  }
  if (origins.m_services.size() < kServiceLimit ||
      origins.m_services.contains(aService)) {
    origins.m_total += 1;
    origins.m_services[aService] += 1;
  }
}

bool
RouteOrigins::IsChildCallRoute(const std::string& aRoute,
                               const HostCounts& aHosts) const
{
  const auto origins = m_routes.find(aRoute);
  if (origins == m_routes.end()) {
    return false;
  }
  double totalHosts = 0;
  double absentHosts = 0;
  for (const auto& [service, count] : aHosts) {
    const auto number = static_cast<double>(count);
    totalHosts += number;
    absentHosts += origins->second.m_services.contains(service) ? 0 : number;
  }
  if (totalHosts == 0) {
    return false;
  }
  // Probability that uniformly distributed customers sent no request from the
  // absent hosts.
  return std::pow(1 - absentHosts / totalHosts, origins->second.m_total) <
         kMaxErrorProbability;
}

}
