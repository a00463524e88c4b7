#include "cr_admission/share/cr_CallPattern.h"

#include <algorithm>

namespace cr {

namespace {

constexpr Duration kWindow = Milliseconds(250);
/* What a window still weighs after the next one has ended. */
constexpr double kFading = 0.98;
/* Routes and called routes that are told apart; those beyond share the last
   place or are not followed. */
constexpr std::size_t kRouteLimit = 24;
constexpr std::size_t kTargetLimit = 24;
constexpr int kSweeps = 24;
/* Added to the squares, so that routes that never ran alone get small factors
   rather than great ones of opposite meaning. */
constexpr double kRidge = 0.5;
/* Fewer calls than one in this many requests are no part of the request. */
constexpr double kLeastCalls = 0.3;
/* A request takes as long as its calls; below this part of it the means can't
   be those of a request and its calls, even while the times change. */
constexpr double kLeastTimePart = 0.7;
/* Times that make a mean. */
constexpr double kLeastTimes = 5;

}

void
CallPattern::CountRun(const std::string& aRoute, Instant aNow)
{
  Advance(aNow);
  m_runs.at(IndexOf(aRoute)) += 1;
}

void
CallPattern::LearnRunTime(const std::string& aRoute,
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
CallPattern::LearnCallTime(const std::string& aCalled,
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
CallPattern::Calls(const std::string& aRoute, const std::string& aCalled) const
{
  const auto route = m_routes.find(aRoute);
  const auto target = m_targets.find(aCalled);
  return route != m_routes.end() && target != m_targets.end() &&
         FactorOf(target->second, route->second) >= kLeastCalls &&
         MayContain(m_runTimes.at(route->second), target->second.m_time);
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
      double& square = m_squares.at(row).at(column);
      square = kFading * square + m_runs.at(row) * m_runs.at(column);
    }
  }
  const auto fade = [](MeanTime& aMean) {
    aMean.m_seconds *= kFading;
    aMean.m_count *= kFading;
  };
  std::for_each(m_runTimes.begin(), m_runTimes.end(), fade);
  for (auto& [name, target] : m_targets) {
    fade(target.m_time);
    target.m_products.resize(m_runs.size());
    for (std::size_t row = 0; row < m_runs.size(); ++row) {
      double& product = target.m_products.at(row);
      product = kFading * product + m_runs.at(row) * target.m_count;
    }
    target.m_count = 0;
    Solve(target);
  }
  std::fill(m_runs.begin(), m_runs.end(), 0.0);
}

/* A route that came after the last window has none yet. */
double
CallPattern::FactorOf(const Target& aTarget, std::size_t aRoute)
{
  return aRoute < aTarget.m_factors.size() ? aTarget.m_factors.at(aRoute) : 0;
}

bool
CallPattern::MayContain(const MeanTime& aRun, const MeanTime& aCall)
{
  return aRun.m_count < kLeastTimes || aCall.m_count < kLeastTimes ||
         aRun.m_seconds / aRun.m_count >=
           kLeastTimePart * aCall.m_seconds / aCall.m_count;
}

/* Coordinate descent on the normal equations. */
void
CallPattern::Solve(Target& aTarget) const
{
  aTarget.m_factors.resize(m_runs.size());
  for (int sweep = 0; sweep < kSweeps; ++sweep) {
    for (std::size_t row = 0; row < m_runs.size(); ++row) {
      double rest = aTarget.m_products.at(row);
      for (std::size_t column = 0; column < m_runs.size(); ++column) {
        rest -= column != row
                  ? m_squares.at(row).at(column) * aTarget.m_factors.at(column)
                  : 0;
      }
      aTarget.m_factors.at(row) =
        std::max(0.0, rest / (m_squares.at(row).at(row) + kRidge));
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
  for (auto& row : m_squares) {
    row.push_back(0);
  }
  m_squares.emplace_back(m_runs.size(), 0.0);
  return m_runs.size() - 1;
}

}
