#pragma once

#include <cstdint>
#include <map>

#include "cr_core/cr_core.h"

namespace cr {

/** Number of calls that a backend server may run at once, from measured time
   and under the slots that it announces.

    It starts small and doubles with each round of calls until it meets the
   slots or calls take much longer in the server than they did at its best; from
   then on it grows by a share, and not at all while they take much longer. Time
   spent waiting for calls below does not count. Not thread safe. */
class ConcurrencyLimit
{
public:
  /** Starts again for a server that has just come up.
      Precondition: aSlots > 0. */
  void Restart(std::uint32_t aSlots);

  /** Takes in a changed number of slots. Precondition: aSlots > 0. */
  void SetSlots(std::uint32_t aSlots);

  /** Takes in the time that a completed call spent in the server itself. */
  void Learn(const OperationName& aOperation, Duration aOwnTime);

  /** A call had to wait because the limit was reached. */
  void NoteReached() { m_wasReached = true; }

  //==========================================================================
  /** Returns the limit: 1 to the number of slots. */
  std::uint32_t Limit() const;

private:
  void EndRound();

  std::uint32_t m_slots = 1;
  double m_limit = 1.0;
  bool m_isStarting = true;
  bool m_wasReached = false;
  std::uint32_t m_samples = 0;
  double m_ratioSum = 0.0;
  std::map<OperationName, double> m_best;
};

}
