#pragma once

#include <cstdint>
#include <optional>

#include "cr_routing/router/cr_RouteTarget.h"

namespace cr {

/** What a node has measured of one host by its own attempts.

    Every estimate loses half its weight in kHalfLife without news, so that a
    host that recovered is tried again. Not thread safe. */
class HostHealth
{
public:
  /** Time in which estimates lose half their weight. */
  static constexpr Duration kHalfLife = Seconds(5);
  /** Time for which an admission level is believed. */
  static constexpr Duration kLevelLife = Seconds(1);
  /** Time over which a host's share grows after a cold start or an ejection. */
  static constexpr Duration kRamp = Seconds(10);

  //==========================================================================
  /** Takes in the end of an attempt; aUsual is the service's usual latency. */
  void Report(const AttemptResult& aResult, Duration aUsual, Instant aNow);

  /** Lets the host's share grow from a small one, beginning now. */
  void StartRamp(Instant aNow) { m_rampStart = aNow; }

  /** Leaves the host out for a time that doubles with each ejection that
      follows shortly upon another. aUnit in [0, 1) spreads the time, so that
      nodes do not return together. */
  void Eject(double aUnit, Instant aNow);

  //==========================================================================
  /** Returns whether the host is left out. */
  bool IsEjected(Instant aNow) const { return aNow < m_ejectedUntil; }

  /** Returns whether failures are so many that the host may be left out. */
  bool IsFailing(Instant aNow) const;

  /** Returns the share of attempts that failed, in [0, 1]. */
  double FailureShare(Instant aNow) const;

  /** Returns the share of attempts that were refused, in [0, 1]. */
  double RefusalShare(Instant aNow) const;

  /** Returns the measured latency, drawn towards the given usual one as it
      ages. */
  Duration Latency(Duration aUsual, Instant aNow) const;

  /** Returns the admission level, or nothing when none is fresh. */
  std::optional<AdmissionLevel> Level(Instant aNow) const;

  /** Returns the part of its full share that the host may get, in (0, 1]. */
  double RampShare(Instant aNow) const;

private:
  double Weight(Instant aNow) const;

  double m_failure = 0;
  double m_refusal = 0;
  double m_latencyUs = 0;
  bool m_hasLatency = false;
  std::uint32_t m_failuresInRow = 0;
  AdmissionLevel m_level = 0;
  Instant m_levelSeen = Instant::min();
  Instant m_reported;
  std::uint32_t m_ejections = 0;
  Instant m_ejectedUntil = Instant::min();
  Instant m_rampStart = Instant::min();
};

}
