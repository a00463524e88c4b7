#include "cr_routing/health/cr_HostHealth.h"

#include <algorithm>
#include <cmath>

namespace cr {

namespace {

constexpr double kSampleWeight = 0.25;
constexpr double kFailingShare = 0.5;
constexpr std::uint32_t kMinConsecutiveFailures = 2;
constexpr Duration kBaseEjectionTime = Seconds(5);
constexpr std::uint32_t kMaxDoublings = 3;
constexpr Duration kEjectionMemory = Seconds(60);
constexpr double kEjectionJitter = 0.2;
constexpr double kMinRampShare = 0.1;
/* Probes in a row that must be answered to end an ejection. */
constexpr std::uint32_t kNeededProbes = 3;
/* A host whose probes were answered starts with this share. */
constexpr double kProbedRampShare = 0.5;
/* The share of a host with a rate limit is stepped by (target / load), damped,
   within bounds. The damping keeps the loop stable with the time over which the
   load is averaged. */
constexpr double kTargetRateLoad = 0.9;
constexpr double kLimitShareDamping = 0.35;
constexpr double kMaxLimitDecrease = 0.7;
constexpr double kMaxLimitIncrease = 1.25;
constexpr double kMinLimitShare = 0.02;
constexpr Duration kLimitInterval = Milliseconds(250);

/* Exponentially weighted mean. */
void
UpdateMean(double& aMean, double aValue)
{
  aMean += kSampleWeight * (aValue - aMean);
}

}

void
HostHealth::Report(const AttemptResult& aResult,
                   Duration aBaseline,
                   Instant aNow)
{
  const double weight = Weight(aNow);
  m_latencyUs = static_cast<double>(Latency(aBaseline, aNow).count());
  m_failure *= weight;
  m_refusal *= weight;
  m_lastReport = aNow;
  if (aResult.m_connectionLost) {
    return;
  }
  const bool failed = !aResult.m_answered && !aResult.m_refused;
  if (IsEjected(aNow) && aNow - aResult.m_latency >= m_ejectedSince) {
    RecordProbe(!failed, aNow);
  }
  UpdateMean(m_failure, failed ? 1 : 0);
  UpdateMean(m_refusal, aResult.m_refused ? 1 : 0);
  m_consecutiveFailures = failed ? m_consecutiveFailures + 1 : 0;
  if (!failed) {
    m_level = aResult.m_level;
    m_levelReceived = aNow;
  }
  if (!failed) {
    UpdateLimitShare(aResult.m_rateLoad, aNow);
  }
  if (aResult.m_answered) {
    const auto latency = static_cast<double>(aResult.m_latency.count());
    if (m_hasLatency) {
      UpdateMean(m_latencyUs, latency);
    } else {
      m_latencyUs = latency;
      m_hasLatency = true;
    }
  }
}

void
HostHealth::Eject(double aJitter, Instant aNow)
{
  const bool isRepeated =
    m_ejectedUntil != Instant::min() && aNow - m_ejectedUntil < kEjectionMemory;
  m_ejections = isRepeated ? std::min(m_ejections + 1, kMaxDoublings) : 0;
  const double factor =
    static_cast<double>(1U << m_ejections) * (1 + kEjectionJitter * aJitter);
  m_ejectedSince = aNow;
  m_ejectedUntil = aNow + Scale(kBaseEjectionTime, factor);
  m_probeInterval = kProbeInterval;
  m_nextProbe = aNow + m_probeInterval;
  m_answeredProbes = 0;
  StartRamp(m_ejectedUntil);
  m_consecutiveFailures = 0;
}

bool
HostHealth::IsFailing(Instant aNow) const
{
  return m_consecutiveFailures >= kMinConsecutiveFailures &&
         FailureShare(aNow) > kFailingShare;
}

double
HostHealth::FailureShare(Instant aNow) const
{
  return m_failure * Weight(aNow);
}

double
HostHealth::RefusalShare(Instant aNow) const
{
  return m_refusal * Weight(aNow);
}

Duration
HostHealth::Latency(Duration aBaseline, Instant aNow) const
{
  if (!m_hasLatency) {
    return aBaseline;
  }
  const auto baseline = static_cast<double>(aBaseline.count());
  return Duration(static_cast<Duration::rep>(
    baseline + (m_latencyUs - baseline) * Weight(aNow)));
}

std::optional<AdmissionLevel>
HostHealth::Level(Instant aNow) const
{
  if (m_levelReceived == Instant::min() ||
      aNow - m_levelReceived >= kLevelLifetime) {
    return std::nullopt;
  }
  return m_level;
}

double
HostHealth::RampShare(Instant aNow) const
{
  if (m_rampStart == Instant::min() || aNow - m_rampStart >= kRampTime) {
    return 1;
  }
  const double grown = static_cast<double>((aNow - m_rampStart).count()) /
                       static_cast<double>(kRampTime.count());
  return std::max(kMinRampShare, grown);
}

/* The rest of an ejection is capacity that the service lacks once the host is
   back. */
void
HostHealth::RecordProbe(bool aIsAnswered, Instant aNow)
{
  m_answeredProbes = aIsAnswered ? m_answeredProbes + 1 : 0;
  m_probeInterval = aIsAnswered
                      ? kProbeInterval
                      : std::min(2 * m_probeInterval, kMaxProbeInterval);
  if (m_answeredProbes >= kNeededProbes) {
    m_ejectedUntil = aNow;
    m_failure = 0;
    StartRamp(aNow - Scale(kRampTime, kProbedRampShare));
  }
}

/* Without a limit the share grows back step by step, so that the host is not
   flooded when its limit ends. */
void
HostHealth::UpdateLimitShare(std::optional<double> aRateLoad, Instant aNow)
{
  if (aNow < m_nextLimitStep || (!aRateLoad && m_limitShare >= 1)) {
    return;
  }
  constexpr double minLoad = 0.01;
  m_nextLimitStep = aNow + kLimitInterval;
  const double ratio = aRateLoad
                         ? kTargetRateLoad / std::max(*aRateLoad, minLoad)
                         : kMaxLimitIncrease / kTargetRateLoad;
  const double factor = aRateLoad ? std::pow(ratio, kLimitShareDamping) : ratio;
  m_limitShare = std::clamp(
    m_limitShare * std::clamp(factor, kMaxLimitDecrease, kMaxLimitIncrease),
    kMinLimitShare,
    1.0);
}

double
HostHealth::Weight(Instant aNow) const
{
  const double halfLives = static_cast<double>((aNow - m_lastReport).count()) /
                           static_cast<double>(kHalfLife.count());
  return std::exp2(-std::max(0.0, halfLives));
}

}
