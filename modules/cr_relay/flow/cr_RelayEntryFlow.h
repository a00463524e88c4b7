#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cr_relay/event/cr_RelayAction.h"
#include "cr_relay/flow/cr_RelayShared.h"
#include "cr_relay/flow/cr_RouteAdmission.h"
#include "cr_retry/cr_retry.h"

namespace cr {

/** Handles the requests that customers and the host's own backend server send
    to this node: admission, choice of the target host, and retries.

    A request ends with exactly one RelayAnswer or RefuseRequest, unless its
    caller disconnects first. The answer "not run" is given only if every node
    that received the request has reported so. Not thread safe. */
class RelayEntryFlow
{
public:
  /** The shared state must outlive the flow. */
  explicit RelayEntryFlow(RelayShared& aShared);

  //==========================================================================
  /** Admits and forwards, or refuses, a new request. */
  void Handle(const RequestArrived& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** Cancels the request of a disconnected caller. */
  void Handle(const RelayCallerDisconnected& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** Handles the answer to a forwarded request. */
  void Handle(const ForwardAnswered& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** Handles a forwarded request that failed without an answer. */
  void Handle(const ForwardFailed& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** Adapts the retry budget to the present number of nodes. */
  void OnFleetChanged();

  //==========================================================================
  /** Returns whether the request is in progress here. */
  bool Has(CallId aCall) const { return m_calls.contains(aCall); }

  /** Returns the number of requests in progress. */
  std::size_t Size() const { return m_calls.size(); }

private:
  struct Call
  {
    CallId m_id{};
    /* Keeps m_route valid. */
    RouteTablePointer m_table;
    const RouteDescription* m_route = nullptr;
    std::string m_service;
    RequestKey m_content;
    Instant m_arrived;
    Instant m_deadline;
    bool m_isChildCall = false;
    std::optional<RouteTarget> m_target;
    Instant m_sent;
    std::vector<HostName> m_triedHosts;
    /* Number of attempts that a backend server may have run. */
    std::uint32_t m_runs = 0;
    /* The shell holds an error response of a backend server. */
    bool m_hasErrorAnswer = false;
    Reason m_lastReason = Reason::NoServer;
  };

  AdmissionLimit Admit(const RequestArrived& aEvent,
                       const Call& aCall,
                       Instant aNow);
  void ReportAdmissions(Instant aNow, RelayActions& aActions);
  double AdmittedShareOf(const std::string& aRoute, Instant aNow);
  RouteAdmission* FindAdmission(const Call& aCall);
  std::optional<RouteTarget> ChooseTarget(const Call& aCall,
                                          Router& aRouter,
                                          Instant aNow) const;
  void Finish(const Call& aCall);
  void SendNextAttempt(Call& aCall, Instant aNow, RelayActions& aActions);
  void ResolveAttempt(Call& aCall,
                      const RelayReport& aReport,
                      Instant aNow,
                      RelayActions& aActions);
  bool MayRetry(const Call& aCall, const RelayReport& aReport, Instant aNow);
  bool MayRetryDispatched(const Call& aCall,
                          const RelayReport& aReport,
                          Instant aNow);
  void RecordLoad(const Call& aCall, const RelayReport& aReport, Instant aNow);
  bool FindOrAddBottleneck(const std::string& aService, Instant aNow);
  bool HasUnrestrictedHost(const std::string& aService, Instant aNow) const;
  void RecordServer(const HostName& aHost, const RelayReport& aReport);
  void ReportAttempt(Call& aCall, const AttemptResult& aResult, Instant aNow);
  void FinishUnanswered(Call& aCall, Instant aNow, RelayActions& aActions);
  void Refuse(const Call& aCall,
              unsigned aStatus,
              Reason aReason,
              std::string_view aLimit,
              Instant aNow,
              RelayActions& aActions);
  Duration RetryAfter(const Call& aCall, Instant aNow);

  RelayShared& m_shared;
  Random m_random;
  ServiceRotation m_rotation;
  RetryBudget m_budget;
  std::unordered_map<CallId, Call> m_calls;
  std::unordered_map<std::string, RouteAdmission> m_admissions;
  /* By the service that limits requests. */
  std::map<std::string, BottleneckShares, std::less<>> m_bottlenecks;
  Instant m_nextAdmissionReport;
};

}
