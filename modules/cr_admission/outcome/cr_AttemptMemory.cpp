#include "cr_admission/outcome/cr_AttemptMemory.h"

#include <algorithm>
#include <cassert>

namespace cr {

namespace {

AttemptId
LaneOf(const AttemptId& aAttempt)
{
  return { aAttempt.m_high, aAttempt.m_low % kShardCount };
}

}

AttemptMemory::AttemptMemory(std::size_t aAttemptLimit, std::size_t aLaneLimit)
  : m_attemptLimit(aAttemptLimit)
  , m_laneLimit(aLaneLimit)
{
  assert(aAttemptLimit > 0);
  assert(aLaneLimit > 0);
}

void
AttemptMemory::Remember(const AttemptId& aAttempt,
                        AttemptFate aFate,
                        Instant aUntil)
{
  assert(aFate == AttemptFate::HandedOver || aFate == AttemptFate::Withdrawn);
  if (!m_fates.emplace(aAttempt, aFate).second) {
    return;
  }
  m_order.push_back({ aAttempt, aUntil });
  if (m_order.size() > m_attemptLimit) {
    ForgetOldest();
  }
}

void
AttemptMemory::Advance(Instant aNow)
{
  while (!m_order.empty() && m_order.front().m_until <= aNow) {
    ForgetOldest();
  }
}

AttemptFate
AttemptMemory::Find(const AttemptId& aAttempt) const
{
  if (const auto fate = m_fates.find(aAttempt); fate != m_fates.end()) {
    return fate->second;
  }
  const auto lane = m_forgotten.find(LaneOf(aAttempt));
  if (lane == m_forgotten.end()) {
    return m_lanesLost ? AttemptFate::Forgotten : AttemptFate::NeverArrived;
  }
  return aAttempt.m_low <= lane->second ? AttemptFate::Forgotten
                                        : AttemptFate::NeverArrived;
}

void
AttemptMemory::ForgetOldest()
{
  const AttemptId attempt = m_order.front().m_attempt;
  m_order.pop_front();
  m_fates.erase(attempt);
  const AttemptId lane = LaneOf(attempt);
  if (!m_forgotten.contains(lane) && m_forgotten.size() >= m_laneLimit) {
    m_lanesLost = true;
    return;
  }
  std::uint64_t& greatest = m_forgotten[lane];
  greatest = std::max(greatest, attempt.m_low);
}

}
