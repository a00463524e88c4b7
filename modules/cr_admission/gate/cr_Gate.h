#pragma once

#include <cstdint>
#include <unordered_map>
#include <variant>
#include <vector>

#include "cr_admission/gate/cr_AdmissionThreshold.h"
#include "cr_admission/gate/cr_ConcurrencyLimit.h"
#include "cr_admission/gate/cr_GateCall.h"
#include "cr_admission/gate/cr_ServerTimes.h"
#include "cr_admission/gate/cr_WaitingQueue.h"

namespace cr {

/** Hand the call over to the backend server now. */
struct GateHandOver
{
  CallId m_call{};
};

/** Refuse the call; it was not handed over and never will be. */
struct GateRefusal
{
  CallId m_call{};
  Reason m_reason = Reason::Overloaded;
};

/** A decision of the gate. */
using GateDecision = std::variant<GateHandOver, GateRefusal>;

/** Decisions in the order in which they are to be carried out. */
using GateDecisions = std::vector<GateDecision>;

/** How a call left the server. */
struct GateFinish
{
  CallId m_call{};
  /** The server answered; the time counts as measured. */
  bool m_answered = true;
  /** Time that the call waited for calls below it. */
  Duration m_childTime = Duration::zero();
};

/** The gate in front of one backend server: all of the server's work passes
    it, so it alone knows what runs and what waits.

    Waiting calls are served by importance, then by depth (work begun for the
    same request; calls that wait for no other of the service before those that
    do), then by the request's cohort; among equals the oldest first,
    and the newest first while the queue stands. The queue is bounded: beyond
    the limit the least of the waiting calls is refused, so a call is never
    refused for want of room while a less important one waits.

    Calls that wait for others of the same service never take the last slots,
    so that those they wait for can run.

    Every decision takes logarithmic time. Not thread safe. Every call offered
    gets exactly one decision, unless it is withdrawn first. */
class Gate
{
public:
  /** Starts closed. */
  explicit Gate(const PolicySwitches& aPolicy = {});

  //==========================================================================
  /** Opens the gate with the server's slots, or changes their number.
      Precondition: aSlots > 0. */
  void Open(std::uint32_t aSlots, Instant aNow, GateDecisions& aDecisions);

  /** Closes the gate: waiting calls are refused with the reason, running ones
      go on. */
  void Close(Reason aReason, GateDecisions& aDecisions);

  /** Offers a call. Precondition: its identifier is not in the gate. */
  void Offer(const GateCall& aCall, Instant aNow, GateDecisions& aDecisions);

  /** Takes out a call that ended or failed in the server. */
  void Finish(const GateFinish& aFinish,
              Instant aNow,
              GateDecisions& aDecisions);

  /** Takes out a waiting call without a decision. Returns false when it does
      not wait. */
  bool Withdraw(CallId aCall);

  /** Refuses waiting calls whose time ran out. */
  void Advance(Instant aNow, GateDecisions& aDecisions);

  //==========================================================================
  /** Returns whether the gate is open. */
  bool IsOpen() const { return m_slots > 0; }

  /** Returns the present admission threshold. @see RankOf */
  AdmissionLevel Level() const { return m_threshold.Level(); }

  /** Returns how many calls the server may run now. */
  std::uint32_t Limit() const;

  /** Returns the number of calls in the server. */
  std::size_t Running() const { return m_running.size(); }

  /** Returns the number of waiting calls. */
  std::size_t Waiting() const { return m_leaves.Size() + m_parents.Size(); }

  /** Returns the time of the next deadline of a waiting call. */
  std::optional<Instant> NextDue() const;

private:
  struct Run
  {
    OperationName m_operation;
    Instant m_started;
    bool m_isParent = false;
  };

  WaitingQueue& QueueOf(const GateCall& aCall);
  WaitingOrder OrderOf(const GateCall& aCall);
  std::size_t WaitingLimit() const;
  std::uint32_t ParentLimit() const;
  bool IsNewestFirst(Instant aNow) const;
  const GateCall* BestWaiting(Instant aNow) const;
  const GateCall* WorstWaiting(Instant aNow) const;
  void Fill(Instant aNow, GateDecisions& aDecisions);
  void HandOver(const GateCall& aCall, Instant aNow, GateDecisions& aDecisions);
  void EvictBeyondLimit(Instant aNow, GateDecisions& aDecisions);
  void Refuse(const GateCall& aCall, Reason aReason, GateDecisions& aDecisions);

  PolicySwitches m_policy;
  std::uint32_t m_slots = 0;
  std::uint64_t m_arrivals = 0;
  std::uint32_t m_parentsRunning = 0;
  std::unordered_map<CallId, Run> m_running;
  WaitingQueue m_leaves;
  WaitingQueue m_parents;
  ConcurrencyLimit m_limit;
  ServerTimes m_times;
  AdmissionThreshold m_threshold;
  Instant m_lastEmpty;
};

}
