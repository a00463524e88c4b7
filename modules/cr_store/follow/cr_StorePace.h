#pragma once

#include "cr_core/cr_core.h"

namespace cr {

/** When a call to the platform may be tried again after failures: after a time
    that doubles with each failure in a row and is drawn at random, so that the
    nodes of a fleet come back spread out. Not thread safe. */
class StorePace
{
public:
  /** Longest mean pause; a whole fleet that waits this long and makes two calls
      each stays within two calls a second and node. */
  static constexpr Duration kLongestPause = Seconds(1);

  explicit StorePace(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  /** A call was refused or got no answer. */
  void NoteFailure(Instant aNow);

  /** A call was answered; the next one may follow at once. */
  void NoteSuccess() { m_failures = 0; }

  /** Puts the next call off by aLeast and a random part of aSpread. */
  void PutOff(Duration aLeast, Duration aSpread, Instant aNow);

  //==========================================================================
  /** Returns the time from which the next call may be made. */
  Instant NotBefore() const { return m_notBefore; }

  /** Returns the number of failures in a row. */
  int Failures() const { return m_failures; }

private:
  Random m_random;
  int m_failures = 0;
  Instant m_notBefore = Instant::min();
};

}
