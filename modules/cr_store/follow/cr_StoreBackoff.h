#pragma once

#include "cr_core/cr_core.h"

namespace cr {

/** Randomized exponential backoff for calls to the platform. The mean delay
    doubles with each consecutive failure; the random factor spreads the retries
    of a fleet's nodes. Not thread safe. */
class StoreBackoff
{
public:
  /** Max mean delay. With this delay, a fleet in which each node makes two
      calls per retry stays within two calls per second and node. */
  static constexpr Duration kMaxMeanDelay = Seconds(1);

  explicit StoreBackoff(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  /** Handles a call that was refused or not answered. */
  void OnFailure(Instant aNow);

  /** Handles an answered call; the next one may follow immediately. */
  void OnSuccess() { m_failures = 0; }

  /** Delays the next call by aMinDelay plus a random part of aJitter. */
  void DelayNext(Duration aMinDelay, Duration aJitter, Instant aNow);

  //==========================================================================
  /** Returns the earliest time of the next call. */
  Instant NotBefore() const { return m_notBefore; }

  /** Returns the number of consecutive failures. */
  int Failures() const { return m_failures; }

private:
  Random m_random;
  int m_failures = 0;
  Instant m_notBefore = Instant::min();
};

}
