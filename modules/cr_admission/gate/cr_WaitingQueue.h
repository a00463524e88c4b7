#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

#include "cr_admission/gate/cr_GateCall.h"

namespace cr {

/** Position of a waiting call. Greater is served first, except that among
    equals in all but the arrival either the oldest or the newest is. */
struct WaitingOrder
{
  Importance m_importance = Importance::Low;
  std::uint32_t m_depth = 0;
  std::uint8_t m_cohort = 0;
  std::uint64_t m_arrival = 0;

  auto operator<=>(const WaitingOrder&) const = default;
};

/** Waiting calls, by order and by deadline. Every operation takes logarithmic
    time. Not thread safe. */
class WaitingQueue
{
public:
  /** Adds a call. Precondition: it is not in the queue. */
  void Add(const WaitingOrder& aOrder, const GateCall& aCall);

  /** Takes out a call. Returns false when it is not in the queue. */
  bool Remove(CallId aCall);

  //==========================================================================
  /** Returns the order of the call to be served next, or nothing. */
  std::optional<WaitingOrder> Best(bool aNewestFirst) const;

  /** Returns the order of the call to be refused first, or nothing. */
  std::optional<WaitingOrder> Worst(bool aNewestFirst) const;

  /** Returns the call at an order. Precondition: there is one. */
  const GateCall& At(const WaitingOrder& aOrder) const
  {
    return m_calls.at(aOrder);
  }

  /** Returns the call with the earliest deadline, or null. */
  const GateCall* FirstDue() const;

  /** Returns the number of waiting calls. */
  std::size_t Size() const { return m_calls.size(); }

private:
  std::map<WaitingOrder, GateCall> m_calls;
  std::unordered_map<CallId, WaitingOrder> m_orders;
  std::set<std::pair<Instant, WaitingOrder>> m_deadlines;
};

}
