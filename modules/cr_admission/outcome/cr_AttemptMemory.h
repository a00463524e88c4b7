#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "cr_core/cr_core.h"

namespace cr {

/** What a gate knows of an attempt that is not in the gate now. */
enum class AttemptFate : std::uint8_t
{
  /** It never arrived here. */
  NeverArrived,
  /** It was handed over to the backend server. */
  HandedOver,
  /** It was refused or withdrawn before it was handed over. */
  Withdrawn,
  /** It may be one of those that were forgotten. */
  Forgotten
};

/** Remembers the attempts that a gate handed over or withdrew, so that a late
    withdrawal is answered truly and a late arrival is refused.

    Senders number their attempts upwards within each of their shards, a lane.
    When an attempt has to be forgotten, by time or by the limit, only the
    greatest number forgotten in its lane is kept. Every attempt up to that
    number which is not remembered counts as forgotten, never as one that has
    not arrived. When even lanes are beyond their limit, every unknown attempt
    of an unknown lane counts as forgotten from then on.

    Not thread safe. */
class AttemptMemory
{
public:
  /** Sets how many attempts and lanes are remembered at most.
      Precondition: both limits > 0. */
  AttemptMemory(std::size_t aAttemptLimit, std::size_t aLaneLimit);

  //==========================================================================
  /** Remembers an attempt until the given time at least, unless the limit is
      reached before. The first fate of an attempt stays. Precondition: the fate
      is HandedOver or Withdrawn. */
  void Remember(const AttemptId& aAttempt, AttemptFate aFate, Instant aUntil);

  /** Forgets attempts whose time is over. */
  void Advance(Instant aNow);

  //==========================================================================
  /** Returns what is known of the attempt. */
  AttemptFate Find(const AttemptId& aAttempt) const;

  /** Returns the number of attempts remembered. */
  std::size_t Size() const { return m_fates.size(); }

private:
  struct Entry
  {
    AttemptId m_attempt;
    Instant m_until;
  };

  void ForgetOldest();

  std::size_t m_attemptLimit;
  std::size_t m_laneLimit;
  std::unordered_map<AttemptId, AttemptFate> m_fates;
  std::deque<Entry> m_order;
  std::unordered_map<AttemptId, std::uint64_t> m_forgotten;
  bool m_lanesLost = false;
};

}
