#include "cr_admission/outcome/cr_AttemptHistory.h"

#include <algorithm>
#include <cassert>

namespace cr {

namespace {

AttemptId
SequenceOf(const AttemptId& aAttempt)
{
  return { aAttempt.m_high, aAttempt.m_low % kShardCount };
}

}

AttemptHistory::AttemptHistory(std::size_t aAttemptLimit,
                               std::size_t aSequenceLimit)
  : m_attemptLimit(aAttemptLimit)
  , m_sequenceLimit(aSequenceLimit)
{
  assert(aAttemptLimit > 0);
  assert(aSequenceLimit > 0);
}

void
AttemptHistory::Record(const AttemptId& aAttempt,
                       AttemptState aState,
                       Instant aUntil)
{
  assert(aState == AttemptState::Dispatched ||
         aState == AttemptState::Withdrawn);
  if (!m_states.emplace(aAttempt, aState).second) {
    return;
  }
  m_order.push_back({ aAttempt, aUntil });
  if (m_order.size() > m_attemptLimit) {
    EvictOldest();
  }
}

void
AttemptHistory::Advance(Instant aNow)
{
  while (!m_order.empty() && m_order.front().m_until <= aNow) {
    EvictOldest();
  }
}

AttemptState
AttemptHistory::Find(const AttemptId& aAttempt) const
{
  if (const auto state = m_states.find(aAttempt); state != m_states.end()) {
    return state->second;
  }
  const auto sequence = m_highestEvicted.find(SequenceOf(aAttempt));
  if (sequence == m_highestEvicted.end()) {
    return m_hasLostSequences ? AttemptState::Forgotten
                              : AttemptState::NeverArrived;
  }
  return aAttempt.m_low <= sequence->second ? AttemptState::Forgotten
                                            : AttemptState::NeverArrived;
}

void
AttemptHistory::EvictOldest()
{
  const AttemptId attempt = m_order.front().m_attempt;
  m_order.pop_front();
  m_states.erase(attempt);
  const AttemptId sequence = SequenceOf(attempt);
  if (!m_highestEvicted.contains(sequence) &&
      m_highestEvicted.size() >= m_sequenceLimit) {
    m_hasLostSequences = true;
    return;
  }
  std::uint64_t& highest = m_highestEvicted[sequence];
  highest = std::max(highest, attempt.m_low);
}

}
