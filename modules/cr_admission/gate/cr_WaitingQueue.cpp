#include "cr_admission/gate/cr_WaitingQueue.h"

#include <cassert>
#include <limits>

namespace cr {

void
WaitingQueue::Add(const WaitingOrder& aOrder, const GateCall& aCall)
{
  assert(!m_orders.contains(aCall.m_call));
  m_calls.emplace(aOrder, aCall);
  m_orders.emplace(aCall.m_call, aOrder);
  m_deadlines.emplace(aCall.m_deadline, aOrder);
}

bool
WaitingQueue::Remove(CallId aCall)
{
  const auto order = m_orders.find(aCall);
  if (order == m_orders.end()) {
    return false;
  }
  const auto call = m_calls.find(order->second);
  m_deadlines.erase({ call->second.m_deadline, order->second });
  m_calls.erase(call);
  m_orders.erase(order);
  return true;
}

std::optional<WaitingOrder>
WaitingQueue::Best(bool aNewestFirst) const
{
  if (m_calls.empty()) {
    return std::nullopt;
  }
  WaitingOrder order = m_calls.rbegin()->first;
  if (!aNewestFirst) {
    order.m_arrival = 0;
    order = m_calls.lower_bound(order)->first;
  }
  return order;
}

std::optional<WaitingOrder>
WaitingQueue::Worst(bool aNewestFirst) const
{
  if (m_calls.empty()) {
    return std::nullopt;
  }
  WaitingOrder order = m_calls.begin()->first;
  if (!aNewestFirst) {
    order.m_arrival = std::numeric_limits<std::uint64_t>::max();
    order = std::prev(m_calls.upper_bound(order))->first;
  }
  return order;
}

const GateCall*
WaitingQueue::FirstToExpire() const
{
  return m_deadlines.empty() ? nullptr
                             : &m_calls.at(m_deadlines.begin()->second);
}

}
