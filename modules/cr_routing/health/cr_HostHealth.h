#pragma once

#include <cstdint>
#include <optional>

#include "cr_routing/router/cr_RouteTarget.h"

namespace cr {

/** Passive health statistics of one host, from a node's own attempts.

    Without new results every estimate loses half its weight in kHalfLife, so
    that a recovered host gets attempts again. Not thread safe. */
class HostHealth
{
public:
  /** Time in which estimates lose half of their weight. */
  static constexpr Duration kHalfLife = Seconds(5);
  /** Time for which a received admission level is valid. */
  static constexpr Duration kLevelLifetime = Seconds(1);
  /** Time in which a host's share grows to its full value after a cold start or
      an ejection. */
  static constexpr Duration kRampTime = Seconds(10);
  /** Time between probes of an ejected host; doubles with each probe that
     fails, up to kMaxProbeInterval. */
  static constexpr Duration kProbeInterval = Milliseconds(300);
  static constexpr Duration kMaxProbeInterval = Milliseconds(1200);

  //==========================================================================
  /** Records the result of an attempt; aBaseline is the service's baseline
      latency. */
  void Report(const AttemptResult& aResult, Duration aBaseline, Instant aNow);

  /** Starts to ramp up the host's share from a small value. */
  void StartRamp(Instant aNow) { m_rampStart = aNow; }

  /** Ejects the host for a time that doubles with each ejection shortly after
      another. aJitter in [0, 1) varies the time, so that the nodes do not use
      the host again all at once. The ejection ends early when several probes in
      a row are answered. */
  void Eject(double aJitter, Instant aNow);

  /** Records that an attempt is sent to the ejected host as a probe (the
      half-open state of a circuit breaker; Nygard, 2007).
      @pre IsProbeDue(aNow) */
  void BeginProbe(Instant aNow) { m_nextProbe = aNow + m_probeInterval; }

  //==========================================================================
  /** Returns the time at which the latest ejection ends at the latest. */
  Instant EjectedUntil() const { return m_ejectedUntil; }

  /** Returns whether the host is ejected. */
  bool IsEjected(Instant aNow) const { return aNow < m_ejectedUntil; }

  /** Returns whether the host is ejected and an attempt may probe it. */
  bool IsProbeDue(Instant aNow) const
  {
    return IsEjected(aNow) && aNow >= m_nextProbe;
  }

  /** Returns whether the host fails often enough to be ejected. */
  bool IsFailing(Instant aNow) const;

  /** Returns the share of attempts that failed, in [0, 1]. */
  double FailureShare(Instant aNow) const;

  /** Returns the share of attempts that were refused, in [0, 1]. */
  double RefusalShare(Instant aNow) const;

  /** Returns the measured latency, which converges to the baseline latency as
      it ages. */
  Duration Latency(Duration aBaseline, Instant aNow) const;

  /** Returns the admission level, or nothing when there is no recent one. */
  std::optional<AdmissionLevel> Level(Instant aNow) const;

  /** Returns the part of its full share that the host gets, in (0, 1]. */
  double RampShare(Instant aNow) const;

  /** Returns the part of its full share that the host gets because of its rate
      limit, in (0, 1]. */
  double LimitShare() const { return m_limitShare; }

private:
  void RecordProbe(bool aIsAnswered, Instant aNow);
  void UpdateLimitShare(std::optional<double> aRateLoad, Instant aNow);
  double Weight(Instant aNow) const;

  double m_failure = 0;
  double m_refusal = 0;
  double m_latencyUs = 0;
  bool m_hasLatency = false;
  std::uint32_t m_consecutiveFailures = 0;
  AdmissionLevel m_level = 0;
  Instant m_levelReceived = Instant::min();
  Instant m_lastReport;
  std::uint32_t m_ejections = 0;
  Instant m_ejectedSince = Instant::min();
  Instant m_ejectedUntil = Instant::min();
  Instant m_nextProbe = Instant::min();
  Duration m_probeInterval = kProbeInterval;
  std::uint32_t m_answeredProbes = 0;
  Instant m_rampStart = Instant::min();
  double m_limitShare = 1;
  Instant m_nextLimitStep = Instant::min();
};

}
