#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "cr_core/cr_core.h"

namespace cr {

/** Recorded state of an attempt that is not in the gate now. */
enum class AttemptState : std::uint8_t
{
  /** It has not arrived here. */
  NeverArrived,
  /** It was dispatched to the backend server. */
  Dispatched,
  /** It was refused or withdrawn before it was dispatched. */
  Withdrawn,
  /** Unknown: its record may have been evicted. */
  Forgotten
};

/** Records the attempts that a gate dispatched or withdrew, so that a late
    withdrawal is answered correctly and a late arrival is refused.

    Callers number their attempts in ascending order within each of their
    shards; the attempts of one shard form a sequence. When an attempt is
    evicted, by time or by the limit, only the highest evicted number of its
    sequence is kept. Every attempt up to that number without a record counts as
    forgotten, never as not arrived. When the number of sequences exceeds its
    limit too, every unknown attempt of an unknown sequence counts as forgotten
    from then on.

    Not thread safe. */
class AttemptHistory
{
public:
  /** Sets the maximum number of recorded attempts and sequences.
      Precondition: both limits > 0. */
  AttemptHistory(std::size_t aAttemptLimit, std::size_t aSequenceLimit);

  //==========================================================================
  /** Records an attempt until the given time at least, unless the limit is
      reached before. The first recorded state of an attempt is kept.
      Precondition: the state is Dispatched or Withdrawn. */
  void Record(const AttemptId& aAttempt, AttemptState aState, Instant aUntil);

  /** Evicts attempts whose time has expired. */
  void Advance(Instant aNow);

  //==========================================================================
  /** Returns the state of the attempt. */
  AttemptState Find(const AttemptId& aAttempt) const;

  /** Returns the number of recorded attempts. */
  std::size_t Size() const { return m_states.size(); }

private:
  struct Entry
  {
    AttemptId m_attempt;
    Instant m_until;
  };

  void EvictOldest();

  std::size_t m_attemptLimit;
  std::size_t m_sequenceLimit;
  std::unordered_map<AttemptId, AttemptState> m_states;
  std::deque<Entry> m_order;
  std::unordered_map<AttemptId, std::uint64_t> m_highestEvicted;
  bool m_hasLostSequences = false;
};

}
