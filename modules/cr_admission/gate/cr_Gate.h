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

/** Dispatch the call to the backend server now. */
struct GateDispatch
{
  CallId m_call{};
};

/** Refuse the call, which was not dispatched and never will be. */
struct GateRefusal
{
  CallId m_call{};
  Reason m_reason = Reason::Overloaded;
};

/** A decision of the gate. */
using GateDecision = std::variant<GateDispatch, GateRefusal>;

/** Decisions in the order in which the caller must execute them. */
using GateDecisions = std::vector<GateDecision>;

/** The end of a call in the server. */
struct GateFinish
{
  CallId m_call{};
  /** The server answered, so the call's time is a valid measurement. */
  bool m_answered = true;
  /** Time that the call waited for its child calls. */
  Duration m_childTime = Duration::zero();
};

/** The queue in front of one backend server. All calls to the server pass
    through it, so it has the complete state of running and waiting calls.

    Waiting calls are ordered by importance, then by depth (calls whose request
    has already run elsewhere first; at equal depth, calls that do not wait for
    other calls of the service before those that do), then by the request's
    cohort. Equal calls are served oldest first, or newest first while there is
    a standing queue. The queue is bounded: beyond the limit the lowest-ranked
    waiting call is refused, so a call is never evicted while a less important
    one waits.

    Calls that wait for other calls of the same service never use the last
    slots, so that the calls they wait for can run.

    Every decision takes logarithmic time. Not thread safe. Every offered call
    gets exactly one decision, unless it is withdrawn first. */
class Gate
{
public:
  /** Creates a closed gate. */
  explicit Gate(const PolicySwitches& aPolicy = {});

  //==========================================================================
  /** Opens the gate with the server's slots, or changes their number.
      Precondition: aSlots > 0. */
  void Open(std::uint32_t aSlots, Instant aNow, GateDecisions& aDecisions);

  /** Closes the gate: waiting calls are refused with the reason, running ones
      continue. */
  void Close(Reason aReason, GateDecisions& aDecisions);

  /** Offers a call. Precondition: its identifier is not in the gate. */
  void Offer(const GateCall& aCall, Instant aNow, GateDecisions& aDecisions);

  /** Removes a call that ended or failed in the server. */
  void Finish(const GateFinish& aFinish,
              Instant aNow,
              GateDecisions& aDecisions);

  /** Removes a waiting call without a decision. Returns false when the call is
      not waiting. */
  bool Withdraw(CallId aCall);

  /** Refuses waiting calls whose deadline has passed. */
  void Advance(Instant aNow, GateDecisions& aDecisions);

  //==========================================================================
  /** Returns whether the gate is open. */
  bool IsOpen() const { return m_slots > 0; }

  /** Returns the current admission threshold. @see RankOf */
  AdmissionLevel Level() const { return m_threshold.Level(); }

  /** Returns the number of calls that the server may run at once now. */
  std::uint32_t Limit() const;

  /** Returns the number of calls in the server. */
  std::size_t Running() const { return m_running.size(); }

  /** Returns the number of waiting calls. */
  std::size_t Waiting() const { return m_leaves.Size() + m_parents.Size(); }

  /** Returns the earliest deadline of the waiting calls. */
  std::optional<Instant> NextWakeup() const;

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
  void DispatchWaiting(Instant aNow, GateDecisions& aDecisions);
  void Dispatch(const GateCall& aCall, Instant aNow, GateDecisions& aDecisions);
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
