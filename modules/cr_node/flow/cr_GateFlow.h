#pragma once

#include <optional>
#include <unordered_map>

#include "cr_admission/cr_admission.h"
#include "cr_membership/cr_membership.h"
#include "cr_node/flow/cr_EntryFlow.h"
#include "cr_ownership/cr_ownership.h"

namespace cr {

/** The node's view of its host's backend server. */
struct ServerView
{
  std::string m_service;
  Endpoint m_endpoint;
  std::uint32_t m_slots = 0;
  std::uint64_t m_instance = 0;
  ServerState m_state = ServerState::Absent;
  Instant m_lastAnnounced;
};

/** Handles calls at the gate of a node's backend server. Tracks the calls that
    are queued, running or recently ended, and the unused attempts of running
    calls.

    Not thread safe. */
class GateFlow
{
public:
  /** The shared state must outlive the flow. */
  explicit GateFlow(NodeShared& aShared);

  //==========================================================================
  /** Handles a call forwarded by another node. */
  void Handle(const PeerCall& aEvent, Moment aMoment, FlowOutput& aOutput);

  /** Handles the disconnection of the node that forwarded a call. */
  void Handle(const CallerDisconnected& aEvent,
              Moment aMoment,
              FlowOutput& aOutput);

  /** Withdraws an attempt at the request of another node, unless it ran. */
  void Handle(const WithdrawalRequested& aEvent,
              Moment aMoment,
              FlowOutput& aOutput);

  /** Handles an announcement of the backend server: new, renewed or leaving. */
  void Handle(const ServerAnnounced& aEvent,
              Moment aMoment,
              FlowOutput& aOutput);

  /** Handles the backend server's answer. */
  void Handle(const ServerAnswered& aEvent,
              Moment aMoment,
              FlowOutput& aOutput);

  /** Handles a call that the backend server did not answer. */
  void Handle(const ServerFailed& aEvent, Moment aMoment, FlowOutput& aOutput);

  /** Closes the gate permanently; running calls continue. */
  void Handle(const ShutdownRequested& aEvent,
              Moment aMoment,
              FlowOutput& aOutput);

  /** Performs the work that is due, such as expiring the server and queued
      calls. */
  void Advance(Moment aMoment, FlowOutput& aOutput);

  /** Registers a child call, draws its attempts from the parent and returns the
      state it inherits. Returns nothing when the parent does not run here any
      more; the attempt budget is 0 when too few attempts are left. */
  std::optional<ChildInheritance> OpenChild(const GateToken& aParent,
                                            const OperationName& aChild,
                                            Moment aMoment);

  /** Ends a child call and returns its unused attempts to the parent. */
  void CloseChild(const ChildEnded& aEnded, Moment aMoment);

  //==========================================================================
  /** Returns the view of the backend server. */
  const ServerView& Server() const { return m_server; }

  /** Returns the ledger of non-idempotent calls, for reports. */
  const KeyLedger& Ledger() const { return m_keyLedger; }

  /** Returns the gate, for reports. */
  const Gate& GateState() const { return m_gate; }

  /** Returns the time at which Advance() must be called next. */
  std::optional<Instant> NextWakeup() const;

private:
  struct Call
  {
    AttemptId m_attempt;
    CallHeader m_header;
    PayloadPointer m_payload;
    Instant m_deadline;
    GateToken m_token;
    AttemptBudget m_attemptBudget;
    /** Identity in the key ledger; set for a call that must run at most once
        and whose key this node owns. */
    std::optional<KeyedCall> m_keyed;
    /** A resend that waits for the result of the running call. */
    bool m_isAttached = false;
    bool m_isDispatched = false;
    bool m_isCallerDisconnected = false;
    std::uint32_t m_openChildren = 0;
    Instant m_childWaitStart;
    Duration m_childWaitTime = Duration::zero();
    /** The request crashed a server before; it runs in the suspect queue. */
    bool m_isSuspect = false;
  };

  void ApplyDecisions(const GateDecisions& aDecisions,
                      Moment aMoment,
                      FlowOutput& aOutput);
  /* Looks up a non-idempotent call in the ledger and answers it if it is known.
     Returns whether the call may enter the gate. */
  bool AdmitKeyed(const PeerCall& aEvent, Moment aMoment, FlowOutput& aOutput);
  bool StartKeyed(const PeerCall& aEvent, Moment aMoment, FlowOutput& aOutput);
  bool IsKeyed(const CallHeader& aHeader) const;
  /* Stores the result in the ledger and answers the resends that wait for
     it. */
  void EndKeyed(CallId aCall,
                const CallReport& aReport,
                const PayloadPointer& aPayload,
                FlowOutput& aOutput);
  /* The caller of a keyed call disconnected. Returns whether the call needs no
     cancellation: it is an attached resend, or it continues for resends. */
  bool ContinueWithoutCaller(CallId aCall);
  WithdrawalResult ResolveAbsentAttempt(const AttemptId& aAttempt,
                                        Instant aNow);
  bool RefuseDuplicateAttempt(const PeerCall& aEvent, FlowOutput& aOutput);
  void Dispatch(CallId aCall, Moment aMoment, FlowOutput& aOutput);
  void Answer(CallId aId,
              const CallReport& aReport,
              PayloadPointer aPayload,
              FlowOutput& aOutput);
  void Refuse(CallId aCall, Reason aReason, FlowOutput& aOutput);
  void OfferToGate(CallId aCall, Moment aMoment, FlowOutput& aOutput);
  void EnqueueCall(CallId aCall, Moment aMoment, FlowOutput& aOutput);
  void RunNextSuspect(Moment aMoment, FlowOutput& aOutput);
  bool Withdraw(CallId aCall);
  bool AttributeCrash(const Call& aCall, Moment aMoment);
  bool IsSuspectRunning() const;
  void CloseServer(ServerState aState, Reason aReason, FlowOutput& aOutput);
  void FinishCall(CallId aCall,
                  const CallReport& aReport,
                  PayloadPointer aPayload,
                  Moment aMoment,
                  FlowOutput& aOutput);
  AdmissionLevel LevelOf(const OperationName& aOperation) const;
  bool NeedsOwnService(const OperationName& aOperation);
  void RemoveCall(CallId aCall);
  GateToken NextToken();

  NodeShared& m_shared;
  Random m_random;
  Gate m_gate;
  ServerView m_server;
  SuspectQueue m_suspectQueue;
  /** The next suspect to run. */
  std::optional<CallId> m_nextSuspect;
  /** End of the period in which other failed calls count as victims of a
      suspect that was blamed for the server's crash. */
  Instant m_suspectBlamedUntil = Instant::min();
  bool m_isShuttingDown = false;
  KeyLedger m_keyLedger;
  std::unordered_map<CallId, Call> m_calls;
  std::unordered_map<AttemptId, CallId> m_attempts;
  std::unordered_map<GateToken, CallId> m_tokens;
  /** Attempts that were dispatched or withdrawn and have left the gate. */
  AttemptHistory m_attemptHistory;
  /** Time of the latest event. */
  Instant m_now;
  /** Whether an operation calls its own service, directly or indirectly, and
      the generation for which this was computed. */
  std::unordered_map<std::string, bool> m_needsOwnService;
  Generation m_needsGeneration = 0;
};

}
