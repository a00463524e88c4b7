#include "cr_relay/flow/cr_RelayGate.h"

#include <algorithm>
#include <limits>

#include <fmt/format.h>

namespace cr {

namespace {

/* Part of its slots that a backend server is given: new connections and
   questions for its health hold some for a moment, and a server that is full
   may not answer at all. */
constexpr double kSlotShare = 0.92;
/* Requests that found nobody, in a row, until the server is taken for absent. A
   busy server may leave some connections unopened, while others end well. */
constexpr int kUnreachableLimit = 6;
/* Pause between questions for the health of a server that was not heard of;
   half of the time in which a server usually announces itself. */
constexpr Duration kHealthPause = Milliseconds(700);

Reason
ReasonOf(ServerVerdict aVerdict)
{
  switch (aVerdict) {
    case ServerVerdict::RefusedNotRun:
      return Reason::ServerFailed;
    case ServerVerdict::WrongServer:
    case ServerVerdict::Unreachable:
      return Reason::NoServer;
    case ServerVerdict::Broken:
      return Reason::ConnectionLost;
    case ServerVerdict::TimedOut:
      return Reason::DeadlineTooShort;
    case ServerVerdict::Answered:
    case ServerVerdict::AnsweredError:
      break;
  }
  return Reason::None;
}

RelayReport
ReportOf(ServerVerdict aVerdict)
{
  RelayReport report;
  report.m_reason = ReasonOf(aVerdict);
  switch (aVerdict) {
    case ServerVerdict::Answered:
    case ServerVerdict::AnsweredError:
      report.m_outcome = Outcome::Completed;
      report.m_isServerError = aVerdict == ServerVerdict::AnsweredError;
      report.m_hasReached = true;
      break;
    case ServerVerdict::RefusedNotRun:
      report.m_outcome = Outcome::NotRun;
      report.m_hasReached = true;
      break;
    case ServerVerdict::WrongServer:
    case ServerVerdict::Unreachable:
      report.m_outcome = Outcome::NotRun;
      break;
    case ServerVerdict::Broken:
    case ServerVerdict::TimedOut:
      report.m_outcome = Outcome::Unknown;
      report.m_hasReached = true;
      break;
  }
  return report;
}

/* Of a request that was not handed over. */
RelayReport
NotRunReport(Reason aReason)
{
  RelayReport report;
  report.m_outcome = Outcome::NotRun;
  report.m_reason = aReason;
  return report;
}

}

RelayGate::RelayGate(RelayShared& aShared)
  : m_shared(aShared)
{
}

void
RelayGate::Handle(const PeerRequestArrived& aEvent,
                  Instant aNow,
                  RelayActions& aActions)
{
  if (!IsOpen() || aEvent.m_header.m_service != Server().m_service) {
    RelayReport report = NotRunReport(
      m_shared.m_isLeaving || Server().m_state == ServerState::Leaving
        ? Reason::Leaving
        : Reason::NoServer);
    report.m_generation = m_shared.m_routes.ActiveGeneration();
    aActions.emplace_back(AnswerPeer{ aEvent.m_call, report });
    return;
  }
  m_load.CountArrival(aEvent.m_header.m_route, aNow);
  m_origins.Count(aEvent.m_header.m_route, aEvent.m_origin, aNow);
  m_calls.emplace(
    aEvent.m_call,
    Call{ aEvent.m_header, aNow + aEvent.m_header.m_remaining, {}, false });
  GateDecisions decisions;
  m_queue.Offer({ aEvent.m_call,
                  aEvent.m_header.m_isBegun,
                  aNow + aEvent.m_header.m_longestWait },
                aNow,
                decisions);
  Carry(decisions, aNow, aActions);
}

void
RelayGate::Handle(const SenderGone& aEvent,
                  Instant /*aNow*/,
                  RelayActions& aActions)
{
  const auto call = m_calls.find(aEvent.m_call);
  if (call == m_calls.end()) {
    return;
  }
  if (m_queue.Withdraw(aEvent.m_call)) {
    m_calls.erase(call);
    return;
  }
  call->second.m_isSenderGone = true;
  if (call->second.m_header.m_isIdempotent) {
    aActions.emplace_back(CancelServerRequest{ aEvent.m_call });
  }
}

void
RelayGate::Handle(const HandOverEnded& aEvent,
                  Instant aNow,
                  RelayActions& aActions)
{
  const auto found = m_calls.find(aEvent.m_call);
  if (found == m_calls.end()) {
    return;
  }
  const Call& call = found->second;
  const std::string route = call.m_header.m_route;
  const bool isAnswered = aEvent.m_verdict == ServerVerdict::Answered;
  if (isAnswered) {
    m_load.RecordTime(route, aNow - call.m_handedOver);
    m_shared.m_pattern.RecordRunTime(route, aNow - call.m_handedOver, aNow);
  } else {
    aActions.emplace_back(
      LogDecision{ "server-ended",
                   aEvent.m_call,
                   fmt::format("\"verdict\":\"{}\",\"server\":\"{}\","
                               "\"ran_ms\":{},\"running\":{},\"sender\":{}",
                               ToText(aEvent.m_verdict),
                               Server().m_id,
                               ToMilliseconds(aNow - call.m_handedOver),
                               m_queue.Running(),
                               !call.m_isSenderGone) });
  }
  if (call.m_isSenderGone) {
    m_calls.erase(found);
  } else {
    Answer(aEvent.m_call, ReportOf(aEvent.m_verdict), aNow, aActions);
  }
  if (aEvent.m_verdict == ServerVerdict::WrongServer ||
      aEvent.m_verdict == ServerVerdict::Unreachable) {
    NoteUnreachable(aEvent.m_verdict, aNow, aActions);
  } else {
    m_unreachable = 0;
  }
  GateDecisions decisions;
  m_queue.Finish(aEvent.m_call, aNow, decisions);
  Carry(decisions, aNow, aActions);
}

void
RelayGate::Handle(const BackendAnnounced& aEvent,
                  Instant aNow,
                  RelayActions& aActions)
{
  NoteServer(m_announcements.Announce(aEvent.m_announcement),
             "announcement",
             aNow,
             aActions);
}

void
RelayGate::Handle(const BackendLeft& aEvent,
                  Instant aNow,
                  RelayActions& aActions)
{
  NoteServer(m_announcements.Leave(aEvent.m_id, aEvent.m_born),
             "departure",
             aNow,
             aActions);
}

void
RelayGate::Handle(const HealthAnswered& aEvent,
                  Instant aNow,
                  RelayActions& aActions)
{
  m_isAsking = false;
  if (!aEvent.m_isHealthy || aEvent.m_id.empty()) {
    return;
  }
  NoteServer(m_announcements.Observe({ aEvent.m_id,
                                       m_shared.m_settings.m_service,
                                       aEvent.m_slots,
                                       ServerState::Ready }),
             "health",
             aNow,
             aActions);
}

void
RelayGate::Close(Instant aNow, RelayActions& aActions)
{
  NoteServer(AnnouncementVerdict::Changed, "shutdown", aNow, aActions);
}

void
RelayGate::Advance(Instant aNow, RelayActions& aActions)
{
  GateDecisions decisions;
  m_queue.Advance(aNow, decisions);
  Carry(decisions, aNow, aActions);
  if (Server().m_state != ServerState::Absent || m_isAsking ||
      aNow < m_nextAsk || m_shared.m_isLeaving) {
    return;
  }
  const auto& services =
    m_shared.m_routes.Current()->Configuration().m_services;
  const auto service = services.find(m_shared.m_settings.m_service);
  if (service == services.end()) {
    return;
  }
  m_isAsking = true;
  m_nextAsk = aNow + kHealthPause;
  aActions.emplace_back(AskHealth{ service->second.m_healthPath });
}

double
RelayGate::Load(Instant aNow) const
{
  // What still runs at a closed gate says nothing of room for more.
  return m_queue.Limit() > 0
           ? m_load.Load(m_queue.Limit(), m_queue.Waiting(), aNow)
           : 0;
}

std::optional<Instant>
RelayGate::NextDue() const
{
  std::optional<Instant> due = m_queue.NextWakeup();
  if (Server().m_state == ServerState::Absent && !m_isAsking &&
      !m_shared.m_isLeaving && m_shared.m_routes.ActiveGeneration() > 0) {
    due = std::min(due.value_or(Instant::max()), m_nextAsk);
  }
  return due;
}

//==============================================================================
bool
RelayGate::IsOpen() const
{
  return Server().m_state == ServerState::Ready && !m_shared.m_isLeaving &&
         Server().m_slots > 0;
}

void
RelayGate::Carry(GateDecisions& aDecisions,
                 Instant aNow,
                 RelayActions& aActions)
{
  for (const GateDecision& decision : aDecisions) {
    if (const auto* handOver = std::get_if<GateDispatch>(&decision)) {
      HandOver(handOver->m_call, aNow, aActions);
      continue;
    }
    const auto& refusal = std::get<GateRefusal>(decision);
    Answer(refusal.m_call, NotRunReport(refusal.m_reason), aNow, aActions);
  }
}

void
RelayGate::HandOver(CallId aCall, Instant aNow, RelayActions& aActions)
{
  Call& call = m_calls.at(aCall);
  call.m_handedOver = aNow;
  m_shared.m_pattern.CountRun(call.m_header.m_route, aNow);
  aActions.emplace_back(HandOverRequest{ aCall,
                                         Server().m_id,
                                         call.m_deadline - aNow,
                                         call.m_header.m_isIdempotent });
}

void
RelayGate::Answer(CallId aCall,
                  RelayReport aReport,
                  Instant aNow,
                  RelayActions& aActions)
{
  const auto call = m_calls.find(aCall);
  aReport.m_gateLoad = Load(aNow);
  aReport.m_pathLoad =
    std::max(aReport.m_gateLoad,
             m_shared.LoadBelow(call->second.m_header.m_route, aNow));
  aReport.m_generation = m_shared.m_routes.ActiveGeneration();
  aReport.m_isCalledRoute = m_origins.IsChildCallRoute(
    call->second.m_header.m_route, m_shared.m_hostCounts);
  m_calls.erase(call);
  aActions.emplace_back(AnswerPeer{ aCall, aReport });
}

void
RelayGate::NoteServer(AnnouncementVerdict aVerdict,
                      std::string_view aCause,
                      Instant aNow,
                      RelayActions& aActions)
{
  if (aVerdict == AnnouncementVerdict::Unchanged) {
    return;
  }
  aActions.emplace_back(
    LogDecision{ "server-state",
                 std::nullopt,
                 fmt::format("\"cause\":\"{}\",\"stale\":{},\"server\":\"{}\","
                             "\"service\":\"{}\",\"slots\":{},\"state\":\"{}\"",
                             aCause,
                             aVerdict == AnnouncementVerdict::Stale,
                             Server().m_id,
                             Server().m_service,
                             Server().m_slots,
                             ToText(Server().m_state)) });
  if (aVerdict == AnnouncementVerdict::Stale) {
    return;
  }
  GateDecisions decisions;
  m_unreachable = 0;
  m_queue.SetLimit(IsOpen() ? Limit() : 0, aNow, decisions);
  if (!IsOpen()) {
    m_queue.RefuseWaiting(Server().m_state == ServerState::Absent
                            ? Reason::NoServer
                            : Reason::Leaving,
                          decisions);
  }
  Carry(decisions, aNow, aActions);
}

void
RelayGate::NoteUnreachable(ServerVerdict aVerdict,
                           Instant aNow,
                           RelayActions& aActions)
{
  if (++m_unreachable >= kUnreachableLimit ||
      aVerdict == ServerVerdict::WrongServer) {
    m_nextAsk = aNow;
    NoteServer(m_announcements.Lose(), ToText(aVerdict), aNow, aActions);
  }
}

std::uint32_t
RelayGate::Limit() const
{
  if (!m_shared.m_settings.m_isGoverned) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  return std::max(1U,
                  static_cast<std::uint32_t>(Server().m_slots * kSlotShare));
}

}
