#include "cr_admission/share/cr_CallPattern.h"

#include <algorithm>
#include <cmath>

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
/* Standard errors by which a factor must differ from 0. Calls follow the start
   of their request with a delay, so the errors of successive windows add up. */
constexpr double kMinStandardErrors = 3.5;
/* A request takes at least as long as each of its calls. If the mean time of
   the requests is below this part of the mean time of the calls, the requests
   don't make the calls; the margin allows for times that change. */
constexpr double kMinTimeRatio = 0.7;
/* Samples needed for a valid mean. */
constexpr double kMinTimeSamples = 5;

using Matrix = std::vector<std::vector<double>>;

/* Returns the diagonal of the inverse of a symmetric positive definite matrix,
   by Gauss-Jordan elimination. */
std::vector<double>
InverseDiagonal(Matrix aMatrix)
{
  const std::size_t size = aMatrix.size();
  Matrix inverse(size, std::vector<double>(size, 0.0));
  for (std::size_t pivot = 0; pivot < size; ++pivot) {
    inverse.at(pivot).at(pivot) = 1;
  }
  for (std::size_t pivot = 0; pivot < size; ++pivot) {
    const double scale = aMatrix.at(pivot).at(pivot);
    for (std::size_t column = 0; column < size; ++column) {
      aMatrix.at(pivot).at(column) /= scale;
      inverse.at(pivot).at(column) /= scale;
    }
    for (std::size_t row = 0; row < size; ++row) {
      const double factor = row != pivot ? aMatrix.at(row).at(pivot) : 0;
      for (std::size_t column = 0; column < size && factor != 0; ++column) {
        aMatrix.at(row).at(column) -= factor * aMatrix.at(pivot).at(column);
        inverse.at(row).at(column) -= factor * inverse.at(pivot).at(column);
      }
    }
  }
  std::vector<double> diagonal(size);
  for (std::size_t pivot = 0; pivot < size; ++pivot) {
    diagonal.at(pivot) = inverse.at(pivot).at(pivot);
  }
  return diagonal;
}

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
         IsCredible(target->second, route->second) &&
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
  m_windows = kDecay * m_windows + 1;
  Matrix regularized = m_gramMatrix;
  for (std::size_t row = 0; row < regularized.size(); ++row) {
    regularized.at(row).at(row) += kRidge;
  }
  m_inverseDiagonal = InverseDiagonal(std::move(regularized));
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
    target.m_squares =
      kDecay * target.m_squares + target.m_count * target.m_count;
    target.m_count = 0;
    Solve(target);
    FindSignificant(target);
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

/* Compares each factor with its standard error in ordinary least squares. */
void
CallPattern::FindSignificant(Target& aTarget) const
{
  // The residual sum of squares at the solution.
  double residual = aTarget.m_squares;
  for (std::size_t row = 0; row < m_runs.size(); ++row) {
    residual -= 2 * aTarget.m_factors.at(row) * aTarget.m_crossProducts.at(row);
    for (std::size_t column = 0; column < m_runs.size(); ++column) {
      residual += aTarget.m_factors.at(row) * aTarget.m_factors.at(column) *
                  m_gramMatrix.at(row).at(column);
    }
  }
  const double variance = std::max(0.0, residual) / m_windows;
  aTarget.m_isSignificant.assign(m_runs.size(), false);
  for (std::size_t row = 0; row < m_runs.size(); ++row) {
    const double error = std::sqrt(variance * m_inverseDiagonal.at(row));
    aTarget.m_isSignificant.at(row) =
      aTarget.m_factors.at(row) > kMinStandardErrors * error;
  }
}

/* Somebody makes the calls, so without any significant factor all count. */
bool
CallPattern::IsCredible(const Target& aTarget, std::size_t aRoute)
{
  const auto& significant = aTarget.m_isSignificant;
  return aRoute < significant.size() &&
         (significant.at(aRoute) ||
          std::find(significant.begin(), significant.end(), true) ==
            significant.end());
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
