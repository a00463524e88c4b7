#pragma once

#include <array>
#include <cstdint>

#include "cr_core/cr_core.h"

namespace cr {

/** Computes the rank below which calls should not be sent to a gate.

    At fixed intervals the threshold rises by a share of the last interval's
    arrivals, counted by rank, while the queue is long and does not shrink. It
    falls, in steps that double, while the queue is short. In between it stays,
    which avoids oscillation. The histogram of arrivals is that of DAGOR (Zhou
    et al., "Overload Control for Scaling WeChat Microservices", 2018). The
    threshold never excludes protected calls. Not thread safe. */
class AdmissionThreshold
{
public:
  /** Counts an arrival. */
  void CountArrival(Rank aRank);

  /** Records that a call was evicted because the queue was full. */
  void CountOverflow() { m_overflowed = true; }

  /** Updates the threshold if the interval is over. aWaiting calls are queued
      out of at most aWaitingLimit. */
  void Advance(std::size_t aWaiting, std::size_t aWaitingLimit, Instant aNow);

  /** Resets the threshold to 0. */
  void Reset();

  //==========================================================================
  /** Returns the threshold. */
  AdmissionLevel Level() const { return m_level; }

private:
  static constexpr std::size_t kBinWidth = 16;
  static constexpr std::size_t kBinCount =
    kImportanceCount * kCohortCount / kBinWidth;

  void Raise();
  void Lower();

  AdmissionLevel m_level = 0;
  std::array<std::uint32_t, kBinCount> m_arrivals{};
  bool m_overflowed = false;
  std::size_t m_lastWaiting = 0;
  AdmissionLevel m_step = 0;
  Instant m_intervalEnd;
};

}
