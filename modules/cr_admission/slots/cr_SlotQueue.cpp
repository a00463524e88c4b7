#include "cr_admission/slots/cr_SlotQueue.h"

#include <algorithm>
#include <cassert>

namespace cr {

namespace {

/* Maximum number of waiting calls for each slot. With calls of similar length,
   the last one starts after this many call times. */
constexpr std::size_t kWaitingPerSlot = 8;

}

void
SlotQueue::SetLimit(std::uint32_t aLimit,
                    Instant aNow,
                    GateDecisions& aDecisions)
{
  m_limit = aLimit;
  DispatchWaiting(aNow, aDecisions);
}

void
SlotQueue::RefuseWaiting(Reason aReason, GateDecisions& aDecisions)
{
  while (!m_waiting.empty()) {
    aDecisions.emplace_back(GateRefusal{ m_waiting.begin()->m_call, aReason });
    Remove(m_waiting.begin());
  }
}

void
SlotQueue::Offer(const SlotCall& aCall, Instant aNow, GateDecisions& aDecisions)
{
  assert(!m_entries.contains(aCall.m_call));
  const Entry entry{
    aCall.m_latestStart, ++m_arrivals, aCall.m_call, aCall.m_isChildCall
  };
  m_waiting.insert(entry);
  if (!entry.m_isChildCall) {
    m_customerCalls.insert(entry);
  }
  m_entries.emplace(aCall.m_call, entry);
  DispatchWaiting(aNow, aDecisions);
  RefuseBeyondLimit(aDecisions);
}

void
SlotQueue::Finish(CallId aCall, Instant aNow, GateDecisions& aDecisions)
{
  if (m_running.erase(aCall) > 0) {
    DispatchWaiting(aNow, aDecisions);
  }
}

bool
SlotQueue::Withdraw(CallId aCall)
{
  const auto entry = m_entries.find(aCall);
  if (entry == m_entries.end()) {
    return false;
  }
  Remove(m_waiting.find(entry->second));
  return true;
}

void
SlotQueue::Advance(Instant aNow, GateDecisions& aDecisions)
{
  while (!m_waiting.empty() && m_waiting.begin()->m_latestStart <= aNow) {
    aDecisions.emplace_back(
      GateRefusal{ m_waiting.begin()->m_call, Reason::Overloaded });
    Remove(m_waiting.begin());
  }
}

std::optional<Instant>
SlotQueue::NextWakeup() const
{
  return m_waiting.empty() ? std::nullopt
                           : std::optional(m_waiting.begin()->m_latestStart);
}

//==============================================================================
/* A call whose latest start is now is still dispatched if a slot is free. */
void
SlotQueue::DispatchWaiting(Instant aNow, GateDecisions& aDecisions)
{
  while (m_running.size() < m_limit && !m_waiting.empty()) {
    const Entry entry = *m_waiting.begin();
    Remove(m_waiting.begin());
    if (entry.m_latestStart < aNow) {
      aDecisions.emplace_back(GateRefusal{ entry.m_call, Reason::Overloaded });
      continue;
    }
    m_running.insert(entry.m_call);
    aDecisions.emplace_back(GateDispatch{ entry.m_call });
  }
}

/* Refuses customers' calls first, and those with the latest start first. */
void
SlotQueue::RefuseBeyondLimit(GateDecisions& aDecisions)
{
  const std::size_t limit = kWaitingPerSlot * std::max<std::size_t>(m_limit, 1);
  while (m_waiting.size() > limit) {
    const auto last = m_customerCalls.empty()
                        ? std::prev(m_waiting.end())
                        : m_waiting.find(*m_customerCalls.rbegin());
    aDecisions.emplace_back(GateRefusal{ last->m_call, Reason::Overloaded });
    Remove(last);
  }
}

void
SlotQueue::Remove(std::set<Entry>::const_iterator aEntry)
{
  m_customerCalls.erase(*aEntry);
  m_entries.erase(aEntry->m_call);
  m_waiting.erase(aEntry);
}

}
