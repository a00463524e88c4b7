#include "cr_routing/health/cr_HostHealth.h"

#include <algorithm>
#include <cmath>

namespace cr {

namespace {

constexpr double kGain = 0.25;
constexpr double kFailingShare = 0.5;
constexpr std::uint32_t kFailingInRow = 2;
constexpr Duration kShortestEjection = Seconds(5);
constexpr std::uint32_t kGreatestDoublings = 3;
constexpr Duration kEjectionMemory = Seconds(60);
constexpr double kEjectionSpread = 0.2;
constexpr double kSmallestRampShare = 0.1;

/* Exponentially weighted mean. */
void
Draw(double& aMean, double aValue)
{
  aMean += kGain * (aValue - aMean);
}

}

void
HostHealth::Report(const AttemptResult& aResult, Duration aUsual, Instant aNow)
{
  const double weight = Weight(aNow);
  m_latencyUs = static_cast<double>(Latency(aUsual, aNow).count());
  m_failure *= weight;
  m_refusal *= weight;
  m_reported = aNow;
  if (aResult.m_connectionLost) {
    return;
  }
  const bool failed = !aResult.m_answered && !aResult.m_refused;
  Draw(m_failure, failed ? 1 : 0);
  Draw(m_refusal, aResult.m_refused ? 1 : 0);
  m_failuresInRow = failed ? m_failuresInRow + 1 : 0;
  if (!failed) {
    m_level = aResult.m_level;
    m_levelSeen = aNow;
  }
  if (aResult.m_answered) {
    const auto latency = static_cast<double>(aResult.m_latency.count());
    if (m_hasLatency) {
      Draw(m_latencyUs, latency);
    } else {
      m_latencyUs = latency;
      m_hasLatency = true;
    }
  }
}

void
HostHealth::Eject(double aUnit, Instant aNow)
{
  const bool isRepeated =
    m_ejectedUntil != Instant::min() && aNow - m_ejectedUntil < kEjectionMemory;
  m_ejections = isRepeated ? std::min(m_ejections + 1, kGreatestDoublings) : 0;
  const double factor =
    static_cast<double>(1U << m_ejections) * (1 + kEjectionSpread * aUnit);
  m_ejectedUntil = aNow + Scale(kShortestEjection, factor);
  StartRamp(m_ejectedUntil);
  m_failuresInRow = 0;
}

bool
HostHealth::IsFailing(Instant aNow) const
{
  return m_failuresInRow >= kFailingInRow && FailureShare(aNow) > kFailingShare;
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
HostHealth::Latency(Duration aUsual, Instant aNow) const
{
  if (!m_hasLatency) {
    return aUsual;
  }
  const auto usual = static_cast<double>(aUsual.count());
  return Duration(
    static_cast<Duration::rep>(usual + (m_latencyUs - usual) * Weight(aNow)));
}

std::optional<AdmissionLevel>
HostHealth::Level(Instant aNow) const
{
  if (m_levelSeen == Instant::min() || aNow - m_levelSeen >= kLevelLife) {
    return std::nullopt;
  }
  return m_level;
}

double
HostHealth::RampShare(Instant aNow) const
{
  if (m_rampStart == Instant::min() || aNow - m_rampStart >= kRamp) {
    return 1;
  }
  const double grown = static_cast<double>((aNow - m_rampStart).count()) /
                       static_cast<double>(kRamp.count());
  return std::max(kSmallestRampShare, grown);
}

double
HostHealth::Weight(Instant aNow) const
{
  const double halvings = static_cast<double>((aNow - m_reported).count()) /
                          static_cast<double>(kHalfLife.count());
  return std::exp2(-std::max(0.0, halvings));
}

}
