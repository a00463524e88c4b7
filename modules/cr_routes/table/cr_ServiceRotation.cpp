#include "cr_routes/table/cr_ServiceRotation.h"

#include <numeric>

namespace cr {

namespace {

/* Routes whose position is kept; beyond it all positions are reset. */
constexpr std::size_t kPositionLimit = 8192;
constexpr double kGoldenRatio = 0.6180339887498949;

}

const std::string&
ServiceRotation::Next(const RouteDescription& aRoute)
{
  if (aRoute.m_services.size() == 1) {
    return aRoute.m_services.front().m_service;
  }
  auto position = m_positions.find(aRoute.m_name);
  if (position == m_positions.end()) {
    if (m_positions.size() >= kPositionLimit) {
      m_positions.clear();
    }
    position = m_positions.emplace(aRoute.m_name, m_random.NextDouble()).first;
  }
  position->second += kGoldenRatio;
  position->second -= position->second >= 1 ? 1 : 0;
  const auto total =
    std::accumulate(aRoute.m_services.begin(),
                    aRoute.m_services.end(),
                    0.0,
                    [](double aSum, const WeightedService& aService) {
                      return aSum + aService.m_weight;
                    });
  double left = position->second * total;
  for (const WeightedService& service : aRoute.m_services) {
    if (left < service.m_weight) {
      return service.m_service;
    }
    left -= service.m_weight;
  }
  return aRoute.m_services.front().m_service;
}

}
