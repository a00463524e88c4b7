#pragma once

#include <cstdint>
#include <map>

#include "cr_core/cr_core.h"

namespace cr {

/** Adaptive limit on the calls that a backend server runs at once, computed
    from measured times and bounded by the slots that the server announces.

    It starts small and doubles with each round of calls until it reaches the
    slots or calls take much longer in the server than in the best case. From
    then on it grows by a share per round, and not at all while calls take much
    longer. Time spent waiting for child calls is excluded. Not thread safe. */
class ConcurrencyLimit
{
public:
  /** Resets the limit for a server that has just started.
      Precondition: aSlots > 0. */
  void Restart(std::uint32_t aSlots);

  /** Changes the number of slots. Precondition: aSlots > 0. */
  void SetSlots(std::uint32_t aSlots);

  /** Records the time that a completed call spent in the server itself,
      without its child calls. */
  void RecordTime(const OperationName& aOperation, Duration aOwnTime);

  /** Records that a call had to wait because of the limit. */
  void RecordLimitReached() { m_wasReached = true; }

  //==========================================================================
  /** Returns the limit, between 1 and the number of slots. */
  std::uint32_t Limit() const;

private:
  void EndRound();

  std::uint32_t m_slots = 1;
  double m_limit = 1.0;
  bool m_isStarting = true;
  bool m_wasReached = false;
  std::uint32_t m_samples = 0;
  double m_ratioSum = 0.0;
  std::map<OperationName, double> m_bestTimes;
};

}
