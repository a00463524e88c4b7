#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "cr_node/event/cr_Action.h"
#include "cr_node/event/cr_NodeIdentity.h"
#include "cr_node/shared/cr_NodeShared.h"
#include "cr_retry/cr_retry.h"

namespace cr {

/** What a child call inherits from the call that its server runs. */
struct ChildInheritance
{
  CallHeader m_parent;
  Instant m_deadline;
  /** Attempts drawn from the parent for the child and all calls below it. */
  std::uint32_t m_grant = 0;
};

/** A child call ended; the parent gets back what was not spent. */
struct ChildEnded
{
  GateToken m_parent;
  std::uint32_t m_unspent = 0;
};

/** What a flow asks for: actions, and news for the gate of the same node. */
struct FlowOutput
{
  Actions m_actions;
  std::vector<ChildEnded> m_ended;
};

/** Carries calls from their arrival at this node, from a customer or from the
    host's own backend server, through their attempts to their answer.

    One shard of the node's calls; not thread safe. */
class EntryFlow
{
public:
  /** The shared state must outlive the flow. */
  EntryFlow(NodeShared& aShared, std::size_t aShard);

  //==========================================================================
  /** Starts a customer's call. */
  void Start(const CustomerCall& aCall, Moment aMoment, FlowOutput& aOutput);

  /** Starts a child call with what its parent hands down. */
  void Start(const ChildCall& aCall,
             const ChildInheritance& aInheritance,
             Moment aMoment,
             FlowOutput& aOutput);

  /** The caller is gone: the call and the work below it are cancelled. */
  void Handle(const CallerGone& aEvent, Moment aMoment, FlowOutput& aOutput);

  /** An attempt was answered. */
  void Handle(const AttemptAnswered& aEvent,
              Moment aMoment,
              FlowOutput& aOutput);

  /** An attempt brought no answer. */
  void Handle(const AttemptFailed& aEvent, Moment aMoment, FlowOutput& aOutput);

  /** A withdrawal was answered. */
  void Handle(const WithdrawAnswered& aEvent,
              Moment aMoment,
              FlowOutput& aOutput);

  /** The service's map of key owners was read afresh, or could not be: calls
      that waited for it go on. */
  void Resume(const std::string& aService, Moment aMoment, FlowOutput& aOutput);

  /** Ends calls that waited for a map of key owners until their deadline. */
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
    /** Servers known to have died of the request before the attempt. */
    std::uint32_t m_deathsBefore = 0;
  };

  struct Call
  {
    CallId m_id{};
    /** Resends of the same request that wait for the same answer. */
    std::vector<CallId> m_joined;
    CallHeader m_header;
    bool m_idempotent = false;
    PayloadPointer m_payload;
    Instant m_deadline;
    std::optional<GateToken> m_parent;
    AttemptBudget m_ledger;
    std::vector<HostName> m_tried;
    std::optional<Attempt> m_attempt;
    /** An earlier attempt may have run. */
    bool m_mayHaveRun = false;
    /** The call must run at most once: only the owner of its key takes it, and
        only the owner can tell that no earlier call with the key ran. */
    bool m_isKeyed = false;
    /** The owner told with its last answer that the key was never run. */
    bool m_ownerRefused = false;
    /** The call waited once for a fresh map of key owners. */
    bool m_hasParked = false;
    Reason m_lastReason = Reason::NoServer;
  };

  /* Keeps the key only when the call must run at most once, so that a gate can
     tell such calls by their key. */
  static void SetKey(Call& aCall, const std::optional<IdempotencyKey>& aKey);
  bool Join(const CustomerCall& aCall, FlowOutput& aOutput);
  bool IsRefusedEarly(const CustomerCall& aCall,
                      Importance aImportance,
                      Instant aNow) const;
  void TryNext(Call& aCall, Moment aMoment, FlowOutput& aOutput);
  void SendAttempt(Call& aCall,
                   const RouteTarget& aTarget,
                   std::uint32_t aGrant,
                   Instant aNow,
                   FlowOutput& aOutput);
  std::optional<RouteTarget> Choose(const Call& aCall, Instant aNow);
  std::optional<RouteTarget> ChooseOwner(const Call& aCall);
  bool MayRetry(const Call& aCall);
  bool TakeRetry(const Call& aCall);
  /* Lets the call wait for a fresh map of key owners: once when there is a map,
     and until its deadline when there is none yet. */
  bool Park(Call& aCall);
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
  void LearnSuspicion(const Call& aCall,
                      const CallReport& aReport,
                      Instant aNow);
  Call* FindByAttempt(const AttemptId& aAttempt);
  AttemptId NextAttemptId();

  NodeShared& m_shared;
  std::size_t m_shard;
  std::uint64_t m_sequence = 0;
  std::unordered_map<CallId, Call> m_calls;
  std::unordered_map<AttemptId, CallId> m_attempts;
  /** Calls that wait for a fresh map of key owners. */
  std::vector<CallId> m_parked;
  /** Customers' requests in progress. */
  std::unordered_map<RequestId, CallId> m_requests;
  RemainingAttempts m_totals;
  /** Time of the latest event. */
  Instant m_now;
};

}
