#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "cr_admission/gate/cr_Gate.h"
#include "cr_admission/slots/cr_RateLimit.h"

namespace cr {

/** A call that needs one of a backend server's slots. */
struct SlotCall
{
  CallId m_call{};
  /** The call is made by a backend server for a request that it runs. */
  bool m_isChildCall = false;
  /** The call is refused when it has not started by this time. */
  Instant m_latestStart;
  /** Priority of the route; 0 is the most urgent. Orders refusals, and under a
      rate limit dispatches too. */
  std::uint32_t m_priority = 0;
};

/** What a SlotQueue decided on calls since the last report. */
struct SlotQueueCounts
{
  std::uint32_t m_offered = 0;
  std::uint32_t m_dispatched = 0;
  /** Refused because they could not start in time. */
  std::uint32_t m_refusedLate = 0;
  /** Refused because too many calls waited. */
  std::uint32_t m_refusedFull = 0;
  /** Sum of the waiting times of dispatched calls. */
  Duration m_waited = Duration::zero();
};

/** Dispatches calls to a backend server with a known number of slots, and
    orders waiting calls by their latest start (earliest deadline first; Liu and
    Layland, 1973).

    Unlike Gate, it serves calls that carry no importance. A customer's own call
    can wait for a short time only, a child call of a running request longer. So
    customers' calls are dispatched first while there is capacity for both, and
    refused first when there is not. Every decision takes logarithmic time. Not
    thread safe. @see Gate */
class SlotQueue
{
public:
  /** Sets how many calls may run at once; with 0 nothing is dispatched. When
      the limit is lowered, running calls continue. */
  void SetLimit(std::uint32_t aLimit, Instant aNow, GateDecisions& aDecisions);

  /** Sets the server's limit in requests per second; empty for none. While it
      is the bottleneck, calls are dispatched by urgency: child calls first,
      then by priority, then by latest start. Calls that would exceed their
      latest start are refused at once. */
  void SetRateLimit(std::optional<double> aRate,
                    Instant aNow,
                    GateDecisions& aDecisions);

  /** Refuses all waiting calls with the reason; running ones continue. */
  void RefuseWaiting(Reason aReason, GateDecisions& aDecisions);

  /** Offers a call, which is dispatched, queued or refused. Precondition: its
      identifier is not in the queue. */
  void Offer(const SlotCall& aCall, Instant aNow, GateDecisions& aDecisions);

  /** Removes a call that ended in the server. */
  void Finish(CallId aCall, Instant aNow, GateDecisions& aDecisions);

  /** Removes a waiting call without a decision. Returns false when the call is
      not waiting. */
  bool Withdraw(CallId aCall);

  /** Refuses calls whose latest start has passed, and dispatches those that the
      rate limit held back. */
  void Advance(Instant aNow, GateDecisions& aDecisions);

  /** Returns the counts since the last call, and resets them. */
  SlotQueueCounts TakeCounts() { return std::exchange(m_counts, {}); }

  //==========================================================================
  /** Returns the number of calls in the server. */
  std::size_t Running() const { return m_running.size(); }

  /** Returns the number of waiting calls. */
  std::size_t Waiting() const { return m_waiting.size(); }

  /** Returns the offered load relative to the rate limit; 0 without one. */
  double RateLoad(Instant aNow) const { return m_rateLimit.Load(aNow); }

  /** Returns how many calls may run at once. */
  std::uint32_t Limit() const { return m_limit; }

  /** Returns the time at which Advance() must be called next. */
  std::optional<Instant> NextWakeup() const;

private:
  struct Entry
  {
    Instant m_latestStart;
    /* Order of arrival; earlier ones first among equals. */
    std::uint64_t m_arrival = 0;
    CallId m_call{};
    bool m_isChildCall = false;
    std::uint32_t m_priority = 0;
    Instant m_offered;

    bool operator<(const Entry& aOther) const
    {
      return m_latestStart != aOther.m_latestStart
               ? m_latestStart < aOther.m_latestStart
               : m_arrival < aOther.m_arrival;
    }
  };

  /* Orders child calls first, then by priority, then by latest start. */
  struct ByUrgency
  {
    bool operator()(const Entry& aFirst, const Entry& aSecond) const;
  };

  void DispatchWaiting(Instant aNow, GateDecisions& aDecisions);
  void RefuseBeyondLimit(GateDecisions& aDecisions);
  void RefuseBeyondRateLimit(Instant aNow, GateDecisions& aDecisions);
  bool IsRateTheBottleneck() const;
  Reason LateReason() const;
  void Remove(std::set<Entry>::const_iterator aEntry);

  std::uint32_t m_limit = 0;
  std::uint64_t m_arrivals = 0;
  std::set<CallId> m_running;
  std::set<Entry> m_waiting;
  /* The same calls in another order. */
  std::set<Entry, ByUrgency> m_byUrgency;
  RateLimit m_rateLimit;
  std::unordered_map<CallId, Entry> m_entries;
  SlotQueueCounts m_counts;
};

}
