#include "cr_admission/gate/cr_Gate.h"

#include <algorithm>
#include <cassert>

namespace cr {

namespace {

constexpr std::size_t kWaitingPerSlot = 4;
constexpr unsigned kCohortShift = 56;

}

std::uint8_t
CohortOf(const RequestId& aRequest)
{
  return static_cast<std::uint8_t>(Hash(aRequest.m_high, aRequest.m_low) >>
                                   kCohortShift);
}

void
Gate::Open(std::uint32_t aSlots, Instant aNow, GateDecisions& aDecisions)
{
  assert(aSlots > 0);
  m_slots = aSlots;
  Fill(aNow, aDecisions);
}

void
Gate::Close(Reason aReason, GateDecisions& aDecisions)
{
  m_slots = 0;
  for (const auto& [order, call] : m_waiting) {
    aDecisions.emplace_back(GateRefusal{ call.m_call, aReason });
  }
  m_waiting.clear();
  m_orders.clear();
}

void
Gate::Offer(const GateCall& aCall, Instant aNow, GateDecisions& aDecisions)
{
  assert(!m_running.contains(aCall.m_call));
  assert(!m_orders.contains(aCall.m_call));
  if (!IsOpen()) {
    aDecisions.emplace_back(GateRefusal{ aCall.m_call, Reason::NoServer });
    return;
  }
  const Order order{ RankOf(aCall.m_importance, CohortOf(aCall.m_request)),
                     aCall.m_begun,
                     ++m_arrivals };
  m_waiting.emplace(order, aCall);
  m_orders.emplace(aCall.m_call, order);
  Fill(aNow, aDecisions);
  EvictBeyondLimit(aDecisions);
}

void
Gate::Finish(CallId aCall, Instant aNow, GateDecisions& aDecisions)
{
  m_running.erase(aCall);
  Fill(aNow, aDecisions);
}

bool
Gate::Withdraw(CallId aCall)
{
  const auto order = m_orders.find(aCall);
  if (order == m_orders.end()) {
    return false;
  }
  m_waiting.erase(order->second);
  m_orders.erase(order);
  return true;
}

void
Gate::Advance(Instant aNow, GateDecisions& aDecisions)
{
  for (auto call = m_waiting.begin(); call != m_waiting.end();) {
    if (call->second.m_deadline > aNow) {
      ++call;
      continue;
    }
    aDecisions.emplace_back(
      GateRefusal{ call->second.m_call, Reason::DeadlineTooShort });
    m_orders.erase(call->second.m_call);
    call = m_waiting.erase(call);
  }
}

AdmissionLevel
Gate::Level() const
{
  const bool full = m_waiting.size() >= kWaitingPerSlot * m_slots;
  return full && !m_waiting.empty() ? m_waiting.begin()->first.m_rank : 0;
}

std::optional<Instant>
Gate::NextDue() const
{
  std::optional<Instant> due;
  for (const auto& [order, call] : m_waiting) {
    due = due ? std::min(*due, call.m_deadline) : call.m_deadline;
  }
  return due;
}

void
Gate::Fill(Instant aNow, GateDecisions& aDecisions)
{
  Advance(aNow, aDecisions);
  while (m_running.size() < m_slots && !m_waiting.empty()) {
    const auto best = std::prev(m_waiting.end());
    aDecisions.emplace_back(GateHandOver{ best->second.m_call });
    m_running.emplace(best->second.m_call, best->second.m_importance);
    m_orders.erase(best->second.m_call);
    m_waiting.erase(best);
  }
}

void
Gate::EvictBeyondLimit(GateDecisions& aDecisions)
{
  while (m_waiting.size() > kWaitingPerSlot * m_slots) {
    const auto worst = m_waiting.begin();
    aDecisions.emplace_back(
      GateRefusal{ worst->second.m_call, Reason::Evicted });
    m_orders.erase(worst->second.m_call);
    m_waiting.erase(worst);
  }
}

}
