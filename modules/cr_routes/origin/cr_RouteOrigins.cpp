#include "cr_routes/origin/cr_RouteOrigins.h"

#include <cmath>

namespace cr {

namespace {

/* Routes and services that are followed; those beyond are not. */
constexpr std::size_t kRouteLimit = 4096;
constexpr std::size_t kServiceLimit = 256;
/* Counts are halved after this time, so that a changed use is seen. */
constexpr Duration kHalfLife = Seconds(4);
/* Counts below this part of a request are forgotten. */
constexpr double kLeastCount = 0.2;
/* Greatest probability that a customers' route is taken for one of calls. */
constexpr double kGreatestDoubt = 1e-4;

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
  if (aNow - origins.m_fadedAt >= kHalfLife) {
    origins.m_fadedAt = aNow;
    origins.m_total /= 2;
    for (auto& [service, count] : origins.m_services) {
      count /= 2;
    }
    std::erase_if(origins.m_services, [](const auto& aCount) {
      return aCount.second < kLeastCount;
    });
  }
  if (origins.m_services.size() < kServiceLimit ||
      origins.m_services.contains(aService)) {
    origins.m_total += 1;
    origins.m_services[aService] += 1;
  }
}

bool
RouteOrigins::IsCalled(const std::string& aRoute,
                       const HostCounts& aHosts) const
{
  const auto origins = m_routes.find(aRoute);
  if (origins == m_routes.end()) {
    return false;
  }
  double hosts = 0;
  double silent = 0;
  for (const auto& [service, count] : aHosts) {
    const auto number = static_cast<double>(count);
    hosts += number;
    silent += origins->second.m_services.contains(service) ? 0 : number;
  }
  if (hosts == 0) {
    return false;
  }
  // Probability that customers on all hosts alike sent none from the silent.
  return std::pow(1 - silent / hosts, origins->second.m_total) < kGreatestDoubt;
}

}
