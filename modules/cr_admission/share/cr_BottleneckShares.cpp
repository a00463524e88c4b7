#include "cr_admission/share/cr_BottleneckShares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cr {

namespace {

/* Weight of a new sample in the mean work per request. */
constexpr double kWorkWeight = 0.05;
/* Higher priority numbers are ranked like this one. */
constexpr std::uint32_t kMaxRankedPriority = 16;
/* Work per request that is assumed at least. */
constexpr double kMinWorkSeconds = 0.001;
/* A few requests of each route are always admitted, because only they report
   the load. */
constexpr double kMinRouteShare = 0.02;
/* Limit on the tracked routes; further ones are not regulated here. */
constexpr std::size_t kRouteLimit = 4096;
/* A present demand up to this multiple of that of the last seconds may be
   chance. */
constexpr double kChanceRise = 1.25;

/* Returns the rate behind a sum with exponential decay over the window that
   started at 0, with the given age. */
double
RateOf(double aSum, Duration aAge, Duration aWindow)
{
  constexpr double minFilled = 0.05;
  const double filled = 1 - std::exp(-ToSeconds(aAge) / ToSeconds(aWindow));
  return aSum / (ToSeconds(aWindow) * std::max(filled, minFilled));
}

}

void
BottleneckShares::CountArrival(const std::string& aRoute, Instant aNow)
{
  const auto route = m_routes.find(aRoute);
  if (route == m_routes.end()) {
    return;
  }
  route->second.m_arrivals.Add(1, aNow);
  m_demand.Add(route->second.m_work, aNow);
}

void
BottleneckShares::RecordReport(const std::string& aRoute,
                               const BottleneckReport& aReport,
                               Instant aNow)
{
  if (m_routes.size() >= kRouteLimit && !m_routes.contains(aRoute)) {
    return;
  }
  Advance(aNow);
  const auto [found, isNew] = m_routes.try_emplace(aRoute);
  Route& route = found->second;
  if (isNew) {
    route.m_since = aNow;
    m_demandSince = m_routes.size() == 1 ? aNow : m_demandSince;
  }
  const double work = std::max(kMinWorkSeconds, ToSeconds(aReport.m_work));
  route.m_work += (route.m_work > 0 ? kWorkWeight : 1) * (work - route.m_work);
  route.m_priority = aReport.m_priority;
  route.m_reported = aNow;
  m_total.RecordLoad(aReport.m_load, aReport.m_latency, aNow);
}

double
BottleneckShares::ShareOf(const std::string& aRoute, Instant aNow)
{
  Advance(aNow);
  const auto route = m_routes.find(aRoute);
  return route != m_routes.end() ? route->second.m_share : 1;
}

bool
BottleneckShares::IsUnused(Instant aNow) const
{
  return std::all_of(m_routes.begin(), m_routes.end(), [&](const auto& aRoute) {
    return aRoute.second.IsOutdated(aNow);
  });
}

//==============================================================================
void
BottleneckShares::Advance(Instant aNow)
{
  if (m_total.Advance(aNow)) {
    Divide(aNow);
  }
}

/* Gives the routes with the least weighted work all they demand, as far as the
   admitted work goes. */
void
BottleneckShares::Divide(Instant aNow)
{
  std::erase_if(m_routes, [&](const auto& aRoute) {
    return aRoute.second.IsOutdated(aNow);
  });
  struct Demand
  {
    double m_rank = 0;
    double m_work = 0;
    Route* m_route = nullptr;
  };
  std::vector<Demand> demands;
  double total = 0;
  for (auto& [name, route] : m_routes) {
    const double arrivals =
      RateOf(route.m_arrivals.Value(aNow), aNow - route.m_since, kMixWindow);
    const double work = arrivals * route.m_work;
    const auto priority =
      static_cast<int>(std::min(route.m_priority, kMaxRankedPriority));
    demands.push_back({ std::ldexp(route.m_work, priority), work, &route });
    total += work;
  }
  // The present demand relative to that of the last seconds, in which the share
  // has settled.
  const double present =
    RateOf(m_demand.Value(aNow), aNow - m_demandSince, kDemandWindow);
  const double rise =
    total > 0 ? std::max(1.0, present / total / kChanceRise) : 1;
  double left = std::min(1.0, m_total.Capacity() / rise) * total;
  std::sort(demands.begin(),
            demands.end(),
            [](const Demand& aFirst, const Demand& aSecond) {
              return aFirst.m_rank < aSecond.m_rank;
            });
  for (const Demand& demand : demands) {
    const double wanted = demand.m_work > left ? left / demand.m_work : 1;
    demand.m_route->m_share = std::clamp(wanted, kMinRouteShare, 1.0);
    left = std::max(0.0, left - demand.m_route->m_share * demand.m_work);
  }
}

}
