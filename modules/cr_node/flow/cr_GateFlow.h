#pragma once

#include <optional>
#include <unordered_map>

#include "cr_admission/cr_admission.h"
#include "cr_membership/cr_membership.h"
#include "cr_node/flow/cr_EntryFlow.h"
#include "cr_ownership/cr_ownership.h"

namespace cr {

/** What the node knows of its host's backend server. */
struct ServerView
{
  std::string m_service;
  Endpoint m_endpoint;
  std::uint32_t m_slots = 0;
  std::uint64_t m_instance = 0;
  ServerState m_state = ServerState::Absent;
  Instant m_renewed;
};

/** The gate of a node's backend server, with the calls that wait, run or ended
    lately and the attempts that running calls may still make.

    Not thread safe. */
class GateFlow
{
public:
  /** The shared state must outlive the flow. */
  explicit GateFlow(NodeShared& aShared);

  //==========================================================================
  /** Another node forwards a call. */
  void Handle(const PeerCall& aEvent, Moment aMoment, FlowOutput& aOutput);

  /** The node that forwarded a call closed its connection. */
  void Handle(const CallerGone& aEvent, Moment aMoment, FlowOutput& aOutput);

  /** Another node withdraws an attempt. */
  void Handle(const WithdrawAsked& aEvent, Moment aMoment, FlowOutput& aOutput);

  /** The backend server announced itself, renewed or is leaving. */
  void Handle(const ServerAnnounced& aEvent,
              Moment aMoment,
              FlowOutput& aOutput);

  /** The backend server answered. */
  void Handle(const ServerAnswered& aEvent,
              Moment aMoment,
              FlowOutput& aOutput);

  /** The backend server gave no answer. */
  void Handle(const ServerFailed& aEvent, Moment aMoment, FlowOutput& aOutput);

  /** Closes the gate for good; running calls go on. */
  void Handle(const ShutdownAsked& aEvent, Moment aMoment, FlowOutput& aOutput);

  /** Does what is due. */
  void Advance(Moment aMoment, FlowOutput& aOutput);

  /** Hands down to a child call what it inherits, and draws its attempts.
      Returns nothing when the parent does not run here any more; the grant is 0
      when too few attempts are left. */
  std::optional<ChildInheritance> Inherit(const GateToken& aParent,
                                          const OperationName& aChild,
                                          Moment aMoment);

  /** Takes back what a child did not spend. */
  void TakeBack(const ChildEnded& aEnded, Moment aMoment);

  //==========================================================================
  /** Returns what is known of the backend server. */
  const ServerView& Server() const { return m_server; }

  /** Returns what is remembered of non-idempotent calls, for reports. */
  const KeyLedger& Ledger() const { return m_ledger; }

  /** Returns the gate, for reports. */
  const Gate& GateState() const { return m_gate; }

  /** Returns the time at which Advance() has something to do. */
  std::optional<Instant> NextDue() const;

private:
  struct Call
  {
    AttemptId m_attempt;
    CallHeader m_header;
    PayloadPointer m_payload;
    Instant m_deadline;
    GateToken m_token;
    AttemptBudget m_ledger;
    /** Set for a call that must run at most once and that this node decides
        on: its identity in the ledger of keys. */
    std::optional<KeyedCall> m_keyed;
    /** A resend that waits for the end of the first run. */
    bool m_isAttached = false;
    bool m_handedOver = false;
    bool m_callerGone = false;
    std::uint32_t m_openChildren = 0;
    Instant m_childSince;
    Duration m_childTime = Duration::zero();
    /** A server died of the request before; it runs in the lane. */
    bool m_isSuspect = false;
  };

  void Carry(const GateDecisions& aDecisions,
             Moment aMoment,
             FlowOutput& aOutput);
  /* Decides on a non-idempotent call; returns whether the gate may take it. */
  bool AdmitKeyed(const PeerCall& aEvent, Moment aMoment, FlowOutput& aOutput);
  bool BeginKeyed(const PeerCall& aEvent, Moment aMoment, FlowOutput& aOutput);
  bool IsKeyed(const CallHeader& aHeader) const;
  /* Ends the call's record and answers the resends that waited for it. */
  void EndKeyed(CallId aCall,
                const CallReport& aReport,
                const PayloadPointer& aPayload,
                FlowOutput& aOutput);
  /* The caller of a keyed call is gone. Returns whether the call goes on, for a
     resend. */
  bool LeaveRunning(CallId aCall);
  WithdrawResult SettleAbsent(const AttemptId& aAttempt, Instant aNow);
  bool RefuseKnown(const PeerCall& aEvent, FlowOutput& aOutput);
  void HandOverCall(CallId aCall, Moment aMoment, FlowOutput& aOutput);
  void Answer(CallId aId,
              const CallReport& aReport,
              PayloadPointer aPayload,
              FlowOutput& aOutput);
  void Refuse(CallId aCall, Reason aReason, FlowOutput& aOutput);
  void Offer(CallId aCall, Moment aMoment, FlowOutput& aOutput);
  void EnterLane(CallId aCall, Moment aMoment, FlowOutput& aOutput);
  void AdvanceLane(Moment aMoment, FlowOutput& aOutput);
  bool Withdraw(CallId aCall);
  bool Blame(const Call& aCall, Moment aMoment);
  bool RunsBesideSuspect() const;
  void CloseServer(ServerState aState, Reason aReason, FlowOutput& aOutput);
  void FinishCall(CallId aCall,
                  const CallReport& aReport,
                  PayloadPointer aPayload,
                  Moment aMoment,
                  FlowOutput& aOutput);
  AdmissionLevel LevelOf(const OperationName& aOperation) const;
  bool NeedsOwnService(const OperationName& aOperation);
  void Forget(CallId aCall);
  GateToken NextToken();

  NodeShared& m_shared;
  Random m_random;
  Gate m_gate;
  ServerView m_server;
  SuspectQueue m_lane;
  /** The suspect whose turn has come. */
  std::optional<CallId> m_nextSuspect;
  /** A suspect was blamed for the server's death; calls that fail until then
      ran beside it. */
  Instant m_blamedUntil = Instant::min();
  bool m_shuttingDown = false;
  KeyLedger m_ledger;
  std::unordered_map<CallId, Call> m_calls;
  std::unordered_map<AttemptId, CallId> m_attempts;
  std::unordered_map<GateToken, CallId> m_tokens;
  /** Attempts that were handed over or withdrawn and are not here now. */
  AttemptHistory m_memory;
  /** Time of the latest event. */
  Instant m_now;
  /** Operations that wait for others of their own service, and the generation
      that this is known of. */
  std::unordered_map<std::string, bool> m_needsOwnService;
  Generation m_needsGeneration = 0;
};

}
