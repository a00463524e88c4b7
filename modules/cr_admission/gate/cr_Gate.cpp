#include "cr_admission/gate/cr_Gate.h"

#include <algorithm>
#include <cassert>

namespace cr {

namespace {

constexpr std::size_t kWaitingPerSlot = 3;
/* Without an adaptive limit, calls are bounded by the server's connections
   only: about this many for each slot. */
constexpr std::uint32_t kConnectionsPerSlot = 10;
constexpr std::uint32_t kLeafReserveDivisor = 4;
constexpr Duration kStandingQueueTime = Milliseconds(100);

}

Gate::Gate(const PolicySwitches& aPolicy)
  : m_policy(aPolicy)
{
}

void
Gate::Open(std::uint32_t aSlots, Instant aNow, GateDecisions& aDecisions)
{
  assert(aSlots > 0);
  if (IsOpen()) {
    m_limit.SetSlots(aSlots);
  } else {
    m_limit.Restart(aSlots);
    m_threshold.Reset();
    m_lastEmpty = aNow;
  }
  m_slots = aSlots;
  DispatchWaiting(aNow, aDecisions);
}

void
Gate::Close(Reason aReason, GateDecisions& aDecisions)
{
  m_slots = 0;
  for (WaitingQueue* queue : { &m_leaves, &m_parents }) {
    while (const GateCall* call = queue->FirstToExpire()) {
      Refuse(GateCall(*call), aReason, aDecisions);
    }
  }
}

void
Gate::Offer(const GateCall& aCall, Instant aNow, GateDecisions& aDecisions)
{
  assert(!m_running.contains(aCall.m_call));
  if (!IsOpen()) {
    aDecisions.emplace_back(GateRefusal{ aCall.m_call, Reason::NoServer });
    return;
  }
  m_threshold.CountArrival(
    RankOf(aCall.m_importance, CohortOf(aCall.m_request)));
  QueueOf(aCall).Add(OrderOf(aCall), aCall);
  DispatchWaiting(aNow, aDecisions);
  EvictBeyondLimit(aNow, aDecisions);
  m_threshold.Advance(Waiting(), WaitingLimit(), aNow);
}

void
Gate::Finish(const GateFinish& aFinish, Instant aNow, GateDecisions& aDecisions)
{
  const auto run = m_running.find(aFinish.m_call);
  if (run == m_running.end()) {
    return;
  }
  const Duration time = aNow - run->second.m_started;
  if (aFinish.m_answered) {
    m_times.RecordTime(run->second.m_operation, time);
    m_limit.RecordTime(run->second.m_operation, time - aFinish.m_childTime);
  }
  m_parentsRunning -= run->second.m_isParent ? 1U : 0U;
  m_running.erase(run);
  DispatchWaiting(aNow, aDecisions);
  m_threshold.Advance(Waiting(), WaitingLimit(), aNow);
}

bool
Gate::Withdraw(CallId aCall)
{
  return m_leaves.Remove(aCall) || m_parents.Remove(aCall);
}

void
Gate::Advance(Instant aNow, GateDecisions& aDecisions)
{
  for (WaitingQueue* queue : { &m_leaves, &m_parents }) {
    const GateCall* call = queue->FirstToExpire();
    while (call != nullptr && call->m_deadline <= aNow) {
      Refuse(GateCall(*call), Reason::DeadlineTooShort, aDecisions);
      call = queue->FirstToExpire();
    }
  }
  if (Waiting() == 0) {
    m_lastEmpty = aNow;
  }
}

std::uint32_t
Gate::Limit() const
{
  return m_policy.m_adaptiveLimit ? m_limit.Limit()
                                  : m_slots * kConnectionsPerSlot;
}

std::optional<Instant>
Gate::NextWakeup() const
{
  std::optional<Instant> earliest;
  for (const WaitingQueue* queue : { &m_leaves, &m_parents }) {
    if (const GateCall* call = queue->FirstToExpire()) {
      earliest =
        earliest ? std::min(*earliest, call->m_deadline) : call->m_deadline;
    }
  }
  return earliest;
}

//==============================================================================
WaitingQueue&
Gate::QueueOf(const GateCall& aCall)
{
  return aCall.m_needsOwnService ? m_parents : m_leaves;
}

WaitingOrder
Gate::OrderOf(const GateCall& aCall)
{
  return { m_policy.m_importance ? aCall.m_importance : Importance::Low,
           m_policy.m_childCallsFirst
             ? 2 * aCall.m_depth + (aCall.m_needsOwnService ? 0U : 1U)
             : 0,
           m_policy.m_cohorts ? CohortOf(aCall.m_request) : std::uint8_t{ 0 },
           ++m_arrivals };
}

std::size_t
Gate::WaitingLimit() const
{
  return m_policy.m_adaptiveLimit
           ? kWaitingPerSlot * std::size_t{ m_slots }
           : kConnectionsPerSlot * std::size_t{ m_slots };
}

std::uint32_t
Gate::ParentLimit() const
{
  const std::uint32_t limit = Limit();
  if (!m_policy.m_adaptiveLimit) {
    return limit;
  }
  const std::uint32_t reserve = std::max(1U, limit / kLeafReserveDivisor);
  return std::max(1U, limit - std::min(reserve, limit));
}

bool
Gate::IsNewestFirst(Instant aNow) const
{
  return m_policy.m_newestFirst && aNow - m_lastEmpty >= kStandingQueueTime;
}

const GateCall*
Gate::BestWaiting(Instant aNow) const
{
  const bool newest = IsNewestFirst(aNow);
  const auto leaf = m_leaves.Best(newest);
  const auto parent = m_parentsRunning < ParentLimit()
                        ? m_parents.Best(newest)
                        : std::optional<WaitingOrder>();
  if (leaf && (!parent || *leaf > *parent)) {
    return &m_leaves.At(*leaf);
  }
  return parent ? &m_parents.At(*parent) : nullptr;
}

const GateCall*
Gate::WorstWaiting(Instant aNow) const
{
  const bool newest = IsNewestFirst(aNow);
  const auto leaf = m_leaves.Worst(newest);
  const auto parent = m_parents.Worst(newest);
  if (leaf && (!parent || *leaf < *parent)) {
    return &m_leaves.At(*leaf);
  }
  return parent ? &m_parents.At(*parent) : nullptr;
}

void
Gate::DispatchWaiting(Instant aNow, GateDecisions& aDecisions)
{
  Advance(aNow, aDecisions);
  while (m_running.size() < Limit()) {
    const GateCall* best = BestWaiting(aNow);
    if (best == nullptr) {
      return;
    }
    const GateCall call = *best;
    const bool isLate =
      call.m_deadline - aNow < m_times.Expected(call.m_operation);
    if (m_policy.m_deadlineDrop && isLate) {
      m_times.LowerEstimate(call.m_operation);
      Refuse(call, Reason::DeadlineTooShort, aDecisions);
    } else {
      Dispatch(call, aNow, aDecisions);
    }
  }
  if (Waiting() > 0) {
    m_limit.RecordLimitReached();
  }
}

void
Gate::Dispatch(const GateCall& aCall, Instant aNow, GateDecisions& aDecisions)
{
  Withdraw(aCall.m_call);
  m_running.emplace(aCall.m_call,
                    Run{ aCall.m_operation, aNow, aCall.m_needsOwnService });
  m_parentsRunning += aCall.m_needsOwnService ? 1U : 0U;
  aDecisions.emplace_back(GateDispatch{ aCall.m_call });
}

void
Gate::EvictBeyondLimit(Instant aNow, GateDecisions& aDecisions)
{
  while (Waiting() > WaitingLimit()) {
    m_threshold.CountOverflow();
    Refuse(GateCall(*WorstWaiting(aNow)), Reason::Evicted, aDecisions);
  }
}

void
Gate::Refuse(const GateCall& aCall, Reason aReason, GateDecisions& aDecisions)
{
  Withdraw(aCall.m_call);
  aDecisions.emplace_back(GateRefusal{ aCall.m_call, aReason });
}

}
