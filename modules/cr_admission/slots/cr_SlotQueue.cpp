#include "cr_admission/slots/cr_SlotQueue.h"

#include <algorithm>
#include <cassert>
#include <tuple>

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
SlotQueue::SetRateLimit(std::optional<double> aRate,
                        Instant aNow,
                        GateDecisions& aDecisions)
{
  m_rateLimit.Set(aRate, aNow);
  DispatchWaiting(aNow, aDecisions);
  RefuseBeyondRateLimit(aNow, aDecisions);
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
  const Entry entry{ aCall.m_latestStart, ++m_arrivals,     aCall.m_call,
                     aCall.m_isChildCall, aCall.m_priority, aNow };
  ++m_counts.m_offered;
  m_waiting.insert(entry);
  m_byUrgency.insert(entry);
  m_entries.emplace(aCall.m_call, entry);
  m_rateLimit.CountArrival(aNow);
  DispatchWaiting(aNow, aDecisions);
  RefuseBeyondLimit(aDecisions);
  RefuseBeyondRateLimit(aNow, aDecisions);
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
  if (m_rateLimit.IsSet()) {
    DispatchWaiting(aNow, aDecisions);
  }
  while (!m_waiting.empty() && m_waiting.begin()->m_latestStart <= aNow) {
    ++m_counts.m_refusedLate;
    aDecisions.emplace_back(
      GateRefusal{ m_waiting.begin()->m_call, LateReason() });
    Remove(m_waiting.begin());
  }
}

std::optional<Instant>
SlotQueue::NextWakeup() const
{
  if (m_waiting.empty()) {
    return std::nullopt;
  }
  const Instant latestStart = m_waiting.begin()->m_latestStart;
  return IsRateTheBottleneck()
           ? std::min(latestStart, m_rateLimit.NextAvailable())
           : latestStart;
}

//==============================================================================
/* A call whose latest start is now is still dispatched if a slot is free. */
void
SlotQueue::DispatchWaiting(Instant aNow, GateDecisions& aDecisions)
{
  while (m_running.size() < m_limit && !m_waiting.empty() &&
         m_rateLimit.IsAvailable(aNow)) {
    const Entry entry =
      m_rateLimit.IsSet() ? *m_byUrgency.begin() : *m_waiting.begin();
    Remove(m_waiting.find(entry));
    if (entry.m_latestStart < aNow) {
      ++m_counts.m_refusedLate;
      aDecisions.emplace_back(GateRefusal{ entry.m_call, LateReason() });
      continue;
    }
    ++m_counts.m_dispatched;
    m_counts.m_waited += aNow - entry.m_offered;
    m_rateLimit.Consume(aNow);
    m_running.insert(entry.m_call);
    aDecisions.emplace_back(GateDispatch{ entry.m_call });
  }
}

/* Refuses the least urgent calls first. */
void
SlotQueue::RefuseBeyondLimit(GateDecisions& aDecisions)
{
  const std::size_t limit = kWaitingPerSlot * std::max<std::size_t>(m_limit, 1);
  while (m_waiting.size() > limit) {
    const Entry last = *m_byUrgency.rbegin();
    ++m_counts.m_refusedFull;
    aDecisions.emplace_back(GateRefusal{ last.m_call, Reason::Overloaded });
    Remove(m_waiting.find(last));
  }
}

/* Refuses the least urgent call if the rate limit lets it start too late, so
   that its caller can try elsewhere. */
void
SlotQueue::RefuseBeyondRateLimit(Instant aNow, GateDecisions& aDecisions)
{
  while (m_rateLimit.IsSet() && !m_waiting.empty()) {
    const Entry last = *m_byUrgency.rbegin();
    if (m_rateLimit.TimeOf(m_waiting.size() - 1, aNow) <= last.m_latestStart) {
      return;
    }
    aDecisions.emplace_back(GateRefusal{ last.m_call, Reason::RateLimited });
    Remove(m_waiting.find(last));
  }
}

/* There is a free slot, but no call may start yet. */
bool
SlotQueue::IsRateTheBottleneck() const
{
  return m_rateLimit.IsSet() && m_running.size() < m_limit;
}

/* Returns the reason for refusing a call whose latest start has passed. */
Reason
SlotQueue::LateReason() const
{
  return IsRateTheBottleneck() ? Reason::RateLimited : Reason::Overloaded;
}

bool
SlotQueue::ByUrgency::operator()(const Entry& aFirst,
                                 const Entry& aSecond) const
{
  const auto key = [](const Entry& aEntry) {
    return std::tuple(!aEntry.m_isChildCall,
                      aEntry.m_priority,
                      aEntry.m_latestStart,
                      aEntry.m_arrival);
  };
  return key(aFirst) < key(aSecond);
}

void
SlotQueue::Remove(std::set<Entry>::const_iterator aEntry)
{
  m_byUrgency.erase(*aEntry);
  m_entries.erase(aEntry->m_call);
  m_waiting.erase(aEntry);
}

}
