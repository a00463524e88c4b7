#include "cr_admission/slots/cr_SlotQueue.h"

#include <algorithm>
#include <cassert>

namespace cr {

namespace {

/* Calls that wait at most, for each slot: with calls of about the same length
   the last of them starts after as many turns of the slots. */
constexpr std::size_t kWaitingPerSlot = 8;

}

void
SlotQueue::SetLimit(std::uint32_t aLimit,
                    Instant aNow,
                    GateDecisions& aDecisions)
{
  m_limit = aLimit;
  Fill(aNow, aDecisions);
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
  assert(!m_places.contains(aCall.m_call));
  const Place place{
    aCall.m_latestStart, ++m_arrivals, aCall.m_call, aCall.m_isBegun
  };
  m_waiting.insert(place);
  if (!place.m_isBegun) {
    m_newcomers.insert(place);
  }
  m_places.emplace(aCall.m_call, place);
  Fill(aNow, aDecisions);
  RefuseBeyondLimit(aDecisions);
}

void
SlotQueue::Finish(CallId aCall, Instant aNow, GateDecisions& aDecisions)
{
  if (m_running.erase(aCall) > 0) {
    Fill(aNow, aDecisions);
  }
}

bool
SlotQueue::Withdraw(CallId aCall)
{
  const auto place = m_places.find(aCall);
  if (place == m_places.end()) {
    return false;
  }
  Remove(m_waiting.find(place->second));
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
SlotQueue::NextDue() const
{
  return m_waiting.empty() ? std::nullopt
                           : std::optional(m_waiting.begin()->m_latestStart);
}

//==============================================================================
/* A call whose latest start has come is still handed over when a slot is free
   at once. */
void
SlotQueue::Fill(Instant aNow, GateDecisions& aDecisions)
{
  while (m_running.size() < m_limit && !m_waiting.empty()) {
    const Place place = *m_waiting.begin();
    Remove(m_waiting.begin());
    if (place.m_latestStart < aNow) {
      aDecisions.emplace_back(GateRefusal{ place.m_call, Reason::Overloaded });
      continue;
    }
    m_running.insert(place.m_call);
    aDecisions.emplace_back(GateHandOver{ place.m_call });
  }
}

/* Newcomers go first, and of these the ones that could wait longest. */
void
SlotQueue::RefuseBeyondLimit(GateDecisions& aDecisions)
{
  const std::size_t limit = kWaitingPerSlot * std::max<std::size_t>(m_limit, 1);
  while (m_waiting.size() > limit) {
    const auto last = m_newcomers.empty()
                        ? std::prev(m_waiting.end())
                        : m_waiting.find(*m_newcomers.rbegin());
    aDecisions.emplace_back(GateRefusal{ last->m_call, Reason::Overloaded });
    Remove(last);
  }
}

void
SlotQueue::Remove(std::set<Place>::const_iterator aPlace)
{
  m_newcomers.erase(*aPlace);
  m_places.erase(aPlace->m_call);
  m_waiting.erase(aPlace);
}

}
