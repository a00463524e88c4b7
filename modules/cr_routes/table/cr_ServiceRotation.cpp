#include "cr_routes/table/cr_ServiceRotation.h"

#include <algorithm>
#include <numeric>

namespace cr {

namespace {

/* Turns kept; a configuration that names more routes starts some anew. */
constexpr std::size_t kTurnLimit = 8192;

bool
IsSame(const std::vector<WeightedService>& aFirst,
       const std::vector<WeightedService>& aSecond)
{
  return std::equal(
    aFirst.begin(),
    aFirst.end(),
    aSecond.begin(),
    aSecond.end(),
    [](const WeightedService& aLeft, const WeightedService& aRight) {
      return aLeft.m_service == aRight.m_service &&
             aLeft.m_weight == aRight.m_weight;
    });
}

}

const std::string&
ServiceRotation::Next(const RouteDescription& aRoute)
{
  if (aRoute.m_services.size() == 1) {
    return aRoute.m_services.front().m_service;
  }
  if (m_turns.size() >= kTurnLimit && !m_turns.contains(aRoute.m_name)) {
    m_turns.clear();
  }
  Turn& turn = m_turns[aRoute.m_name];
  if (!IsSame(turn.m_services, aRoute.m_services)) {
    Restart(turn, aRoute);
  }
  double total = 0;
  for (std::size_t index = 0; index < turn.m_credits.size(); ++index) {
    turn.m_credits.at(index) += turn.m_services.at(index).m_weight;
    total += turn.m_services.at(index).m_weight;
  }
  const auto most =
    std::max_element(turn.m_credits.begin(), turn.m_credits.end());
  *most -= total;
  return aRoute.m_services
    .at(static_cast<std::size_t>(most - turn.m_credits.begin()))
    .m_service;
}

void
ServiceRotation::Restart(Turn& aTurn, const RouteDescription& aRoute)
{
  aTurn.m_services = aRoute.m_services;
  aTurn.m_credits.clear();
  for (const WeightedService& service : aTurn.m_services) {
    aTurn.m_credits.push_back(m_random.Unit() * service.m_weight);
  }
  // The credits add up to nothing, as after any whole number of requests.
  const double mean =
    std::accumulate(aTurn.m_credits.begin(), aTurn.m_credits.end(), 0.0) /
    static_cast<double>(aTurn.m_credits.size());
  for (double& credit : aTurn.m_credits) {
    credit -= mean;
  }
}

}
