#include "cr_admission/share/cr_CallPattern.h"

#include <algorithm>

namespace cr {

namespace {

constexpr Duration kWindow = Milliseconds(250);
/* Factor on the weight of all earlier windows when a window ends. */
constexpr double kDecay = 0.98;
/* Limits on the tracked routes and called routes. Further routes share the last
   index; further called routes are not tracked. */
constexpr std::size_t kRouteLimit = 24;
constexpr std::size_t kTargetLimit = 24;
constexpr int kSweeps = 24;
/* Ridge term on the diagonal of the normal equations. Keeps the factors of
   routes that always run together small; without it they can become large
   with opposite signs. */
constexpr double kRidge = 0.5;
/* Below this number of calls per request, the calls are not attributed to the
   route. */
constexpr double kMinCallsPerRequest = 0.3;
/* A request takes at least as long as each of its calls. If the mean time of
   the requests is below this part of the mean time of the calls, the requests
   don't make the calls; the margin allows for times that change. */
constexpr double kMinTimeRatio = 0.7;
/* Samples needed for a valid mean. */
constexpr double kMinTimeSamples = 5;

}

void
CallPattern::CountRun(const std::string& aRoute, Instant aNow)
{
  Advance(aNow);
  m_runs.at(IndexOf(aRoute)) += 1;
}

void
CallPattern::RecordRunTime(const std::string& aRoute,
                           Duration aTime,
                           Instant aNow)
{
  Advance(aNow);
  MeanTime& mean = m_runTimes.at(IndexOf(aRoute));
  mean.m_seconds += ToSeconds(aTime);
  mean.m_count += 1;
}

void
CallPattern::CountCall(const std::string& aCalled, Instant aNow)
{
  Advance(aNow);
  auto target = m_targets.find(aCalled);
  if (target == m_targets.end()) {
    if (m_targets.size() >= kTargetLimit) {
      return;
    }
    target = m_targets.emplace(aCalled, Target{}).first;
  }
  target->second.m_count += 1;
}

void
CallPattern::RecordCallTime(const std::string& aCalled,
                            Duration aTime,
                            Instant aNow)
{
  Advance(aNow);
  const auto target = m_targets.find(aCalled);
  if (target != m_targets.end()) {
    target->second.m_time.m_seconds += ToSeconds(aTime);
    target->second.m_time.m_count += 1;
  }
}

double
CallPattern::CallsPerRequest(const std::string& aRoute,
                             const std::string& aCalled) const
{
  const auto route = m_routes.find(aRoute);
  const auto target = m_targets.find(aCalled);
  return route != m_routes.end() && target != m_targets.end()
           ? FactorOf(target->second, route->second)
           : 0;
}

bool
CallPattern::MakesCalls(const std::string& aRoute,
                        const std::string& aCalled) const
{
  const auto route = m_routes.find(aRoute);
  const auto target = m_targets.find(aCalled);
  return route != m_routes.end() && target != m_targets.end() &&
         FactorOf(target->second, route->second) >= kMinCallsPerRequest &&
         CanContain(m_runTimes.at(route->second), target->second.m_time);
}

void
CallPattern::Advance(Instant aNow)
{
  if (aNow < m_windowEnd) {
    return;
  }
  EndWindow();
  m_windowEnd = aNow + kWindow;
}

void
CallPattern::EndWindow()
{
  for (std::size_t row = 0; row < m_runs.size(); ++row) {
    for (std::size_t column = 0; column < m_runs.size(); ++column) {
      double& element = m_gramMatrix.at(row).at(column);
      element = kDecay * element + m_runs.at(row) * m_runs.at(column);
    }
  }
  const auto decay = [](MeanTime& aMean) {
    aMean.m_seconds *= kDecay;
    aMean.m_count *= kDecay;
  };
  std::for_each(m_runTimes.begin(), m_runTimes.end(), decay);
  for (auto& [name, target] : m_targets) {
    decay(target.m_time);
    target.m_crossProducts.resize(m_runs.size());
    for (std::size_t row = 0; row < m_runs.size(); ++row) {
      double& product = target.m_crossProducts.at(row);
      product = kDecay * product + m_runs.at(row) * target.m_count;
    }
    target.m_count = 0;
    Solve(target);
  }
  std::fill(m_runs.begin(), m_runs.end(), 0.0);
}

/* A route that was first seen after the last window ended has no factor yet. */
double
CallPattern::FactorOf(const Target& aTarget, std::size_t aRoute)
{
  return aRoute < aTarget.m_factors.size() ? aTarget.m_factors.at(aRoute) : 0;
}

bool
CallPattern::CanContain(const MeanTime& aRun, const MeanTime& aCall)
{
  return aRun.m_count < kMinTimeSamples || aCall.m_count < kMinTimeSamples ||
         aRun.m_seconds / aRun.m_count >=
           kMinTimeRatio * aCall.m_seconds / aCall.m_count;
}

/* Non-negative least squares by coordinate descent on the normal equations. */
void
CallPattern::Solve(Target& aTarget) const
{
  aTarget.m_factors.resize(m_runs.size());
  for (int sweep = 0; sweep < kSweeps; ++sweep) {
    for (std::size_t row = 0; row < m_runs.size(); ++row) {
      double residual = aTarget.m_crossProducts.at(row);
      for (std::size_t column = 0; column < m_runs.size(); ++column) {
        residual -= column != row ? m_gramMatrix.at(row).at(column) *
                                      aTarget.m_factors.at(column)
                                  : 0;
      }
      aTarget.m_factors.at(row) =
        std::max(0.0, residual / (m_gramMatrix.at(row).at(row) + kRidge));
    }
  }
}

std::size_t
CallPattern::IndexOf(const std::string& aRoute)
{
  const auto known = m_routes.find(aRoute);
  if (known != m_routes.end()) {
    return known->second;
  }
  if (m_runs.size() >= kRouteLimit) {
    return kRouteLimit - 1;
  }
  m_routes.emplace(aRoute, m_runs.size());
  m_runs.push_back(0);
  m_runTimes.emplace_back();
  for (auto& row : m_gramMatrix) {
    row.push_back(0);
  }
  m_gramMatrix.emplace_back(m_runs.size(), 0.0);
  return m_runs.size() - 1;
}

}
