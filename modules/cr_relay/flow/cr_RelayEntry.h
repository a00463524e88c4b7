#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "cr_relay/event/cr_RelayAction.h"
#include "cr_relay/flow/cr_RelayShared.h"
#include "cr_relay/flow/cr_RouteAdmission.h"
#include "cr_retry/cr_retry.h"

namespace cr {

/** The requests that customers and the host's own backend server send to this
    node: which are let in, where each goes, and whether it is tried again.

    A request ends with exactly one RelayAnswer or RefuseRequest, unless its
    sender leaves first. An answer that says "not run" is given only when every
    node that got the request has said so. Not thread safe. */
class RelayEntry
{
public:
  /** The shared state must outlive the flow. */
  explicit RelayEntry(RelayShared& aShared);

  //==========================================================================
  /** A request arrived. */
  void Handle(const RequestArrived& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** The sender of a request is gone. */
  void Handle(const SenderGone& aEvent, Instant aNow, RelayActions& aActions);

  /** A request that was passed on was answered. */
  void Handle(const ForwardAnswered& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** A request that was passed on brought no answer. */
  void Handle(const ForwardFailed& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** The picture of the fleet changed. */
  void NoteFleet();

  //==========================================================================
  /** Returns whether the request is in progress here. */
  bool Has(CallId aCall) const { return m_calls.contains(aCall); }

  /** Returns the number of requests in progress. */
  std::size_t Size() const { return m_calls.size(); }

private:
  struct Call
  {
    CallId m_id{};
    /* Keeps the route. */
    RouteTablePointer m_table;
    const RouteDescription* m_route = nullptr;
    std::string m_service;
    Instant m_arrived;
    Instant m_deadline;
    bool m_isBegun = false;
    std::optional<RouteTarget> m_target;
    Instant m_sent;
    std::vector<HostName> m_tried;
    /* Backend servers that may have run the request. */
    std::uint32_t m_runs = 0;
    /* The shell holds a backend server's answer that tells of a failure. */
    bool m_hasErrorAnswer = false;
    Reason m_lastReason = Reason::NoServer;
  };

  bool IsLetIn(const RequestArrived& aEvent, const Call& aCall, Instant aNow);
  RouteAdmission* AdmissionOf(const Call& aCall);
  std::optional<RouteTarget> Choose(const Call& aCall,
                                    Router& aRouter,
                                    Instant aNow) const;
  void End(const Call& aCall);
  void TryNext(Call& aCall, Instant aNow, RelayActions& aActions);
  void Settle(Call& aCall,
              const RelayReport& aReport,
              Instant aNow,
              RelayActions& aActions);
  bool MayTryAgain(const Call& aCall, const RelayReport& aReport, Instant aNow);
  bool MayRepeat(const Call& aCall, const RelayReport& aReport, Instant aNow);
  void LearnLoad(const Call& aCall, const RelayReport& aReport, Instant aNow);
  void ReportTarget(Call& aCall, const AttemptResult& aResult, Instant aNow);
  void EndUnserved(Call& aCall, Instant aNow, RelayActions& aActions);
  void Refuse(const Call& aCall,
              unsigned aStatus,
              Reason aReason,
              Instant aNow,
              RelayActions& aActions);
  Duration RetryAfter(const Call& aCall, Instant aNow);

  RelayShared& m_shared;
  Random m_random;
  ServiceRotation m_rotation;
  RetryBudget m_budget;
  std::unordered_map<CallId, Call> m_calls;
  std::unordered_map<std::string, RouteAdmission> m_admissions;
};

}
