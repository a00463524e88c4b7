#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

#include "cr_admission/gate/cr_Gate.h"

namespace cr {

/** A call that wants one of a backend server's slots. */
struct SlotCall
{
  CallId m_call{};
  /** Work for the same customer request has been done elsewhere already. */
  bool m_isBegun = false;
  /** Later than this the call is better refused. */
  Instant m_latestStart;
};

/** Hands calls over to a backend server whose slots are known, and keeps those
    that wait ordered by the latest time at which each is still of use (earliest
    deadline first; Liu and Layland, 1973).

    Beside the gate of a call graph whose importance travels with each call
    (@see Gate), this one serves calls that carry none: a customer's own call
    can wait for a moment only, calls below a running request longer, so the
    first go ahead while there is room for both, and are the ones that are
    refused when there is not. Every decision takes logarithmic time. Not thread
    safe. */
class SlotQueue
{
public:
  /** Sets how many calls may run at once; 0 hands over nothing. Running calls
      beyond a lower limit go on. */
  void SetLimit(std::uint32_t aLimit, Instant aNow, GateDecisions& aDecisions);

  /** Refuses all waiting calls with the reason; running ones go on. */
  void RefuseWaiting(Reason aReason, GateDecisions& aDecisions);

  /** Offers a call: it is handed over, waits, or is refused. Precondition: its
      identifier is not in the queue. */
  void Offer(const SlotCall& aCall, Instant aNow, GateDecisions& aDecisions);

  /** Takes out a call that ended in the server. */
  void Finish(CallId aCall, Instant aNow, GateDecisions& aDecisions);

  /** Takes out a waiting call without a decision. Returns false when it does
      not wait. */
  bool Withdraw(CallId aCall);

  /** Refuses calls whose latest start has passed. */
  void Advance(Instant aNow, GateDecisions& aDecisions);

  //==========================================================================
  /** Returns the number of calls in the server. */
  std::size_t Running() const { return m_running.size(); }

  /** Returns the number of waiting calls. */
  std::size_t Waiting() const { return m_waiting.size(); }

  /** Returns how many calls may run at once. */
  std::uint32_t Limit() const { return m_limit; }

  /** Returns the time at which Advance() has something to do. */
  std::optional<Instant> NextDue() const;

private:
  struct Place
  {
    Instant m_latestStart;
    /* Order of arrival; earlier ones first among equals. */
    std::uint64_t m_arrival = 0;
    CallId m_call{};
    bool m_isBegun = false;

    bool operator<(const Place& aOther) const
    {
      return m_latestStart != aOther.m_latestStart
               ? m_latestStart < aOther.m_latestStart
               : m_arrival < aOther.m_arrival;
    }
  };

  void Fill(Instant aNow, GateDecisions& aDecisions);
  void RefuseBeyondLimit(GateDecisions& aDecisions);
  void Remove(std::set<Place>::const_iterator aPlace);

  std::uint32_t m_limit = 0;
  std::uint64_t m_arrivals = 0;
  std::set<CallId> m_running;
  std::set<Place> m_waiting;
  /* The waiting calls that are not begun. */
  std::set<Place> m_newcomers;
  std::unordered_map<CallId, Place> m_places;
};

}
