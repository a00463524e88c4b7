#include "cr_Arrivals.h"

#include <algorithm>
#include <cmath>

namespace cr {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kPercent = 100;

Arrival
MakeArrival(Duration aAt, const OperationName& aOperation, Random& aRandom)
{
  Arrival arrival;
  arrival.m_at = aAt;
  arrival.m_operation = aOperation;
  arrival.m_request.m_high = aRandom.Next();
  arrival.m_request.m_low = aRandom.Next();
  arrival.m_keyHigh = aRandom.Next();
  arrival.m_keyLow = aRandom.Next();
  arrival.m_seed = aRandom.Next();
  return arrival;
}

/* Returns the factor that active surges apply to the arrival rate. */
double
RateFactorAt(const Scenario& aScenario, Duration aAt)
{
  double factor = 1;
  for (const Trigger& trigger : aScenario.m_triggers) {
    const auto* surge = std::get_if<SurgeTrigger>(&trigger.m_kind);
    if (surge != nullptr && trigger.m_start <= aAt && aAt < trigger.m_end) {
      factor *= static_cast<double>(surge->m_percent) / kPercent;
    }
  }
  return factor;
}

void
PlanStream(const Scenario& aScenario,
           const ScenarioStream& aStream,
           Random& aRandom,
           std::vector<Arrival>& aArrivals)
{
  double at = 0;
  while (aStream.m_perSecond > 0) {
    const Duration begin(static_cast<Duration::rep>(at));
    const double mean =
      kMicrosecondsPerSecond / (static_cast<double>(aStream.m_perSecond) *
                                RateFactorAt(aScenario, begin));
    const bool even = aScenario.m_spread == Spread::Even;
    const double distance =
      even ? mean : -std::log(1.0 - aRandom.NextDouble()) * mean;
    const double offset = even ? aRandom.NextDouble() * mean : distance;
    const Duration time(static_cast<Duration::rep>(at + offset));
    at += distance;
    if (begin >= aScenario.m_length) {
      return;
    }
    if (time < aScenario.m_length) {
      aArrivals.push_back(MakeArrival(time, aStream.m_operation, aRandom));
    }
  }
}

void
PlanCrashes(const Trigger& aTrigger,
            const CrashRequestsTrigger& aCrashes,
            Random& aRandom,
            std::vector<Arrival>& aArrivals)
{
  const Duration step = (aTrigger.m_end - aTrigger.m_start) / aCrashes.m_count;
  for (std::int64_t number = 0; number < aCrashes.m_count; ++number) {
    aArrivals.push_back(MakeArrival(
      aTrigger.m_start + step * number, aCrashes.m_operation, aRandom));
    aArrivals.back().m_body = kCrashBody;
  }
}

}

std::vector<Arrival>
PlanArrivals(const Scenario& aScenario)
{
  std::vector<Arrival> arrivals;
  std::uint64_t number = 0;
  for (const ScenarioStream& stream : aScenario.m_streams) {
    Random random(Hash(aScenario.m_seed, ++number));
    PlanStream(aScenario, stream, random, arrivals);
  }
  for (const Trigger& trigger : aScenario.m_triggers) {
    Random random(Hash(aScenario.m_seed, ++number));
    if (const auto* crashes =
          std::get_if<CrashRequestsTrigger>(&trigger.m_kind)) {
      PlanCrashes(trigger, *crashes, random, arrivals);
    }
  }
  std::stable_sort(arrivals.begin(),
                   arrivals.end(),
                   [](const Arrival& aLeft, const Arrival& aRight) {
                     return aLeft.m_at < aRight.m_at;
                   });
  return arrivals;
}

}
