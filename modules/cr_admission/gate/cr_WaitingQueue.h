#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

#include "cr_admission/gate/cr_GateCall.h"

namespace cr {

/** Sort key of a waiting call. The greater key is served first, except that
    keys that differ in the arrival only are served oldest or newest first. */
struct WaitingOrder
{
  Importance m_importance = Importance::Low;
  std::uint32_t m_depth = 0;
  std::uint8_t m_cohort = 0;
  std::uint64_t m_arrival = 0;

  auto operator<=>(const WaitingOrder&) const = default;
};

/** Waiting calls, indexed by order and by deadline. Every operation takes
    logarithmic time. Not thread safe. */
class WaitingQueue
{
public:
  /** Adds a call. Precondition: it is not in the queue. */
  void Add(const WaitingOrder& aOrder, const GateCall& aCall);

  /** Removes a call. Returns false when it is not in the queue. */
  bool Remove(CallId aCall);

  //==========================================================================
  /** Returns the order of the call to serve next, or nothing. */
  std::optional<WaitingOrder> Best(bool aNewestFirst) const;

  /** Returns the order of the call to refuse first, or nothing. */
  std::optional<WaitingOrder> Worst(bool aNewestFirst) const;

  /** Returns the call with the order. Precondition: it is in the queue. */
  const GateCall& At(const WaitingOrder& aOrder) const
  {
    return m_calls.at(aOrder);
  }

  /** Returns the call with the earliest deadline, or null. */
  const GateCall* FirstToExpire() const;

  /** Returns the number of waiting calls. */
  std::size_t Size() const { return m_calls.size(); }

private:
  std::map<WaitingOrder, GateCall> m_calls;
  std::unordered_map<CallId, WaitingOrder> m_orders;
  std::set<std::pair<Instant, WaitingOrder>> m_deadlines;
};

}
