#pragma once

#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "cr_relay/event/cr_RelayAction.h"
#include "cr_relay/flow/cr_RelayShared.h"

namespace cr {

/** The gate of a relaying node. All requests to the host's backend server pass
    through it, so the node decides on the server's state without agreement of
    other nodes.

    Every request that arrives ends with exactly one AnswerPeer, unless its
    caller disconnects first. "Not run" is reported only for requests that were
    not dispatched, or that the server itself reports as not run.

    Requests during which servers crashed run one after the other or are
    refused. @see SuspectTable.

    A former process of the node may have acknowledged that the server leaves,
    and an earlier announcement may arrive only now. So the gate of a started
    node stays closed until the node has read the row of that process, or, if
    the platform does not answer, until the server has passed a health check.
    Not thread safe. */
class RelayGateFlow
{
public:
  /** The shared state must outlive the flow. */
  explicit RelayGateFlow(RelayShared& aShared);

  //==========================================================================
  /** Queues or refuses a request from a node, this one included. */
  void Handle(const PeerRequestArrived& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** Withdraws a waiting request whose caller disconnected. A running request
      is cancelled only if it is idempotent. */
  void Handle(const RelayCallerDisconnected& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** Handles the end of a dispatched request. If its connection broke, it is
      answered when it is known whether the server crashed. */
  void Handle(const DispatchEnded& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** Handles an announcement of the backend server. The gate is open or closed
      accordingly when the call returns. */
  void Handle(const BackendAnnounced& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** Handles the announced departure of the backend server. */
  void Handle(const BackendLeft& aEvent, Instant aNow, RelayActions& aActions);

  /** Handles the end of a health check, answered or not. */
  void Handle(const HealthChecked& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** Called when the node table has been read. The first call adopts the
      departure in this node's own row, which a former process has written. */
  void OnNodesRead(Instant aNow, RelayActions& aActions);

  /** Closes the gate permanently; running requests continue.
      @pre RelayShared::m_isLeaving is set. */
  void Close(Instant aNow, RelayActions& aActions);

  /** Updates the queue, and checks the health of an absent server when due. */
  void Advance(Instant aNow, RelayActions& aActions);

  //==========================================================================
  /** Returns the known state of the backend server. */
  const AnnouncedServer& Server() const { return m_announcements.Server(); }

  /** Returns the start of the backend server that is leaving, if it is. */
  std::optional<ServerStart> Departure() const
  {
    return m_announcements.Departure();
  }

  /** Returns whether the start's messages are ignored, although it may be the
      present one. @see ServerAnnouncements */
  bool IsUnconfirmed(const ServerStart& aStart) const
  {
    return m_announcements.IsUnconfirmed(aStart);
  }

  /** Returns the queue, for status reports. */
  const SlotQueue& Queue() const { return m_queue; }

  /** Returns the load of the gate, relative to the slots or to the rate limit
      of its server, whichever is greater; 0 if it is closed. @see OfferedLoad,
      RateLimit */
  double Load(Instant aNow) const;

  /** Returns the number of waiting and running requests. */
  std::size_t Size() const { return m_calls.size(); }

  /** Returns the time at which Advance() must be called next. */
  std::optional<Instant> NextWakeup() const;

private:
  struct Call
  {
    RelayHeader m_header;
    Instant m_deadline;
    Instant m_dispatched = Instant::min();
    /* The server to which the request was dispatched. */
    ServerStart m_server;
    bool m_isCallerDisconnected = false;
    /* The request is a suspect and passes through the suspect queue. */
    bool m_isSuspect = false;
    /* Until then it waits in the suspect queue. */
    Instant m_suspectUntil;
  };

  const RoutedService* FindServiceToCheck() const;
  void RequestHealthCheck(Instant aNow, RelayActions& aActions);
  bool IsOpen() const;
  std::optional<Instant> HealthCheckTime() const;
  void OnDepartureKnown(std::string_view aCause,
                        Instant aNow,
                        RelayActions& aActions);
  PathBottleneck FindBottleneck(const std::string& aRoute, Instant aNow) const;
  void ReportQueue(Instant aNow, RelayActions& aActions);
  double SlotLoad(Instant aNow) const;
  void ApplyDecisions(GateDecisions& aDecisions,
                      Instant aNow,
                      RelayActions& aActions);
  void Dispatch(CallId aCall, Instant aNow, RelayActions& aActions);
  void Enqueue(CallId aCall, Instant aNow, RelayActions& aActions);
  void Offer(CallId aCall, Instant aNow, RelayActions& aActions);
  bool PassSuspectCheck(CallId aCall, Instant aNow, RelayActions& aActions);
  void RunNextSuspect(Instant aNow, RelayActions& aActions);
  void RefuseLateSuspects(Instant aNow, RelayActions& aActions);
  void RefuseWaitingSuspects(Instant aNow, RelayActions& aActions);
  void OnConnectionBroken(const DispatchEnded& aEvent,
                          Instant aNow,
                          RelayActions& aActions);
  void DecideCrash(Instant aNow, RelayActions& aActions);
  void RecordCrash(std::span<const CrashDetector::Run> aBroken,
                   Instant aNow,
                   RelayActions& aActions);
  std::vector<RequestKey> SelectBlamed(
    std::span<const CrashDetector::Run> aBroken,
    Instant aNow) const;
  void OnEnded(const DispatchEnded& aEvent,
               Instant aNow,
               RelayActions& aActions);
  void OnSurvived(const Call& aCall, Instant aNow, RelayActions& aActions);
  std::optional<Instant> NextSuspectTime() const;
  Reason ClosedReason() const;
  void ReportToService(std::span<const RequestKey> aRequests,
                       Instant aNow,
                       RelayActions& aActions) const;
  void Erase(CallId aCall);
  void Answer(CallId aCall,
              RelayReport aReport,
              Instant aNow,
              RelayActions& aActions);
  void OnServerChange(AnnouncementResult aResult,
                      std::string_view aCause,
                      Instant aNow,
                      RelayActions& aActions);
  void OnUnreachable(DispatchResult aResult,
                     Instant aNow,
                     RelayActions& aActions);
  void OnConditionReported(const Call& aCall,
                           const ServerCondition& aCondition,
                           Instant aNow,
                           RelayActions& aActions);
  void AdoptKnownReport(const ServerReport& aReport,
                        Instant aNow,
                        RelayActions& aActions);
  void MarkLeaving(const ServerStart& aStart,
                   std::string_view aCause,
                   Instant aNow,
                   RelayActions& aActions);
  void SetCondition(const ServerCondition& aCondition,
                    std::string_view aSource,
                    Instant aNow,
                    RelayActions& aActions);
  std::optional<ServerReport> MakeServerReport() const;
  std::uint32_t Limit() const;

  RelayShared& m_shared;
  ServerAnnouncements m_announcements;
  SlotQueue m_queue;
  OfferedLoad m_load;
  RouteOrigins m_origins;
  /* The start of the server that has the condition. */
  ServerStart m_conditionServer;
  ServerCondition m_condition;
  /* The server has answered since this process started. */
  bool m_hasServerAnswered = false;
  /* For the log: start of the condition, and dispatches since then. */
  Instant m_conditionSince;
  std::uint64_t m_conditionDispatches = 0;
  std::unordered_map<CallId, Call> m_calls;
  Instant m_nextQueueReport;
  /* Number of consecutive dispatches that reached no server. */
  int m_consecutiveUnreachable = 0;
  SuspectQueue m_suspectQueue;
  /* The suspect that runs next. */
  std::optional<CallId> m_nextSuspect;
  CrashDetector m_crashDetector;
  /* The server whose connections broke. */
  ServerStart m_brokenServer;
  bool m_isCheckingHealth = false;
  Instant m_nextHealthCheck = Instant::min();
  bool m_hasReadOwnRow = false;
  /* It is known whether a former process recorded that the server leaves. */
  bool m_isDepartureKnown = false;
  /* From then on a health check tells it, if the row has not been read. */
  Instant m_rowReadDeadline = Instant::max();
};

}
