#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "cr_node/event/cr_Action.h"
#include "cr_node/event/cr_NodeIdentity.h"
#include "cr_node/shared/cr_NodeShared.h"
#include "cr_retry/cr_retry.h"

namespace cr {

/** State that a child call inherits from its parent call. */
struct ChildInheritance
{
  CallHeader m_parent;
  Instant m_deadline;
  /** Attempts drawn from the parent for the child and all its descendants. */
  std::uint32_t m_attemptBudget = 0;
};

/** A child call ended; its unused attempts are returned to the parent. */
struct ChildEnded
{
  GateToken m_parent;
  std::uint32_t m_unusedAttempts = 0;
};

/** Output of a flow: actions, and ended child calls for the gate of the same
    node. */
struct FlowOutput
{
  Actions m_actions;
  std::vector<ChildEnded> m_endedChildren;
};

/** Handles calls that enter at this node, from a customer or from the host's
    own backend server: makes their attempts, retries and answers them.

    Holds one shard of the node's calls; not thread safe. */
class EntryFlow
{
public:
  /** The shared state must outlive the flow. */
  EntryFlow(NodeShared& aShared, std::size_t aShard);

  //==========================================================================
  /** Starts a customer's call. */
  void Start(const CustomerCall& aCall, Moment aMoment, FlowOutput& aOutput);

  /** Starts a child call with the state inherited from its parent. */
  void Start(const ChildCall& aCall,
             const ChildInheritance& aInheritance,
             Moment aMoment,
             FlowOutput& aOutput);

  /** Cancels the call and its descendants after the caller disconnected. */
  void Handle(const CallerDisconnected& aEvent,
              Moment aMoment,
              FlowOutput& aOutput);

  /** Handles the answer to an attempt. */
  void Handle(const AttemptAnswered& aEvent,
              Moment aMoment,
              FlowOutput& aOutput);

  /** Handles an attempt that failed without an answer. */
  void Handle(const AttemptFailed& aEvent, Moment aMoment, FlowOutput& aOutput);

  /** Handles the answer to a withdrawal. */
  void Handle(const WithdrawalAnswered& aEvent,
              Moment aMoment,
              FlowOutput& aOutput);

  /** Resumes the calls that wait for the service's ownership map, after it was
      read or the read failed. */
  void Resume(const std::string& aService, Moment aMoment, FlowOutput& aOutput);

  /** Ends calls whose deadline passed while they waited for an ownership
      map. */
  void Advance(Moment aMoment, FlowOutput& aOutput);

  //==========================================================================
  /** Returns the number of calls in progress. */
  std::size_t Size() const { return m_calls.size(); }

private:
  struct Attempt
  {
    AttemptId m_id;
    RouteTarget m_target;
    Instant m_started;
    /** Server crashes known to be caused by the request before the attempt. */
    std::uint32_t m_crashesBefore = 0;
  };

  struct Call
  {
    CallId m_id{};
    /** Resends of the same request, which get the same answer. */
    std::vector<CallId> m_joinedCalls;
    CallHeader m_header;
    bool m_idempotent = false;
    PayloadPointer m_payload;
    Instant m_deadline;
    std::optional<GateToken> m_parent;
    AttemptBudget m_attemptBudget;
    std::vector<HostName> m_attemptedHosts;
    std::optional<Attempt> m_attempt;
    /** An earlier attempt may have run. */
    bool m_mayHaveRun = false;
    /** The call must run at most once: only the owner of its key accepts it,
        and only the owner can tell that no earlier call with the key ran. */
    bool m_isKeyed = false;
    /** The owner's last answer stated that no call with the key ran. */
    bool m_ownerConfirmedNotRun = false;
    /** The call has waited for a refreshed ownership map before. */
    bool m_hasWaitedForOwners = false;
    Reason m_lastReason = Reason::NoServer;
  };

  /* Stores the key only when the call must run at most once, so that a gate
     recognises such calls by the presence of a key. */
  static void SetKey(Call& aCall, const std::optional<IdempotencyKey>& aKey);
  bool Join(const CustomerCall& aCall, FlowOutput& aOutput);
  bool IsRefusedEarly(const CustomerCall& aCall,
                      Importance aImportance,
                      Instant aNow) const;
  void StartNextAttempt(Call& aCall, Moment aMoment, FlowOutput& aOutput);
  void SendAttempt(Call& aCall,
                   const RouteTarget& aTarget,
                   std::uint32_t aAttemptBudget,
                   Instant aNow,
                   FlowOutput& aOutput);
  std::optional<RouteTarget> Choose(const Call& aCall, Instant aNow);
  std::optional<RouteTarget> ChooseOwner(const Call& aCall);
  bool MayRetry(const Call& aCall);
  bool ConsumeRetry(const Call& aCall);
  /* Makes the call wait for a refreshed ownership map: once when a map is
     known, otherwise until its deadline. Returns false if it must not wait. */
  bool WaitForOwners(Call& aCall);
  void RetryOrEnd(Call& aCall, Moment aMoment, FlowOutput& aOutput);
  void EndUnanswered(Call& aCall, Reason aReason, FlowOutput& aOutput);
  void End(Call& aCall,
           const CallReport& aReport,
           PayloadPointer aPayload,
           FlowOutput& aOutput);
  void ReportAttempt(const Call& aCall,
                     const AttemptResult& aResult,
                     Instant aNow);
  bool IsRefusedSuspect(const RequestId& aRequest,
                        const OperationName& aOperation,
                        Instant aNow) const;
  void RecordSuspicion(const Call& aCall,
                       const CallReport& aReport,
                       Instant aNow);
  Call* FindByAttempt(const AttemptId& aAttempt);
  AttemptId NextAttemptId();

  NodeShared& m_shared;
  std::size_t m_shard;
  std::uint64_t m_sequence = 0;
  std::unordered_map<CallId, Call> m_calls;
  std::unordered_map<AttemptId, CallId> m_attempts;
  /** Calls that wait for a refreshed ownership map. */
  std::vector<CallId> m_waitingForOwners;
  /** Requests of customers in progress. */
  std::unordered_map<RequestId, CallId> m_requests;
  RemainingAttempts m_remainingAttempts;
  /** Time of the latest event. */
  Instant m_now;
};

}
