#include "cr_relay/flow/cr_RelayGateFlow.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <fmt/format.h>

namespace cr {

namespace {

/* Fraction of the slots of a backend server that the gate uses. New connections
   and health checks briefly occupy slots too, and a server with no free slot
   may not answer at all. */
constexpr double kUsableSlotShare = 0.92;
/* Number of consecutive requests that reach no server until the server counts
   as absent. A busy server may fail to accept some connections while others
   succeed. */
constexpr int kUnreachableLimit = 6;
/* Time between health checks of an absent server; half of the usual time
   between announcements of a server. */
constexpr Duration kHealthCheckInterval = Milliseconds(700);
/* Time that the platform gets to answer a started node before a health check
   must tell whether the server is leaving. */
constexpr Duration kRowReadTimeout = Seconds(1);
/* Time between log lines on the queue. */
constexpr Duration kQueueReportInterval = Seconds(1);

/* Returns the limit as a JSON value. */
std::string
ToText(std::optional<double> aRateLimit)
{
  return aRateLimit ? fmt::format("{:.1f}", *aRateLimit) : "null";
}

/* Returns the time as a JSON value. */
std::string
ToText(std::optional<WallMilliseconds> aTime)
{
  return aTime ? std::to_string(*aTime) : "null";
}

}

RelayGateFlow::RelayGateFlow(RelayShared& aShared)
  : m_shared(aShared)
{
}

void
RelayGateFlow::Handle(const PeerRequestArrived& aEvent,
                      Instant aNow,
                      RelayActions& aActions)
{
  if (aEvent.m_header.m_knownServer) {
    AdoptKnownReport(*aEvent.m_header.m_knownServer, aNow, aActions);
  }
  if (!IsOpen() || aEvent.m_header.m_service != Server().m_service) {
    RelayReport report = NotRunReport(
      m_shared.m_isLeaving || Server().m_state == ServerState::Leaving
        ? Reason::Leaving
        : Reason::NoServer);
    report.m_generation = m_shared.m_routes.ActiveGeneration();
    report.m_server = MakeServerReport();
    aActions.emplace_back(AnswerPeer{ aEvent.m_call, report });
    return;
  }
  ReportQueue(aNow, aActions);
  m_load.CountArrival(aEvent.m_header.m_route, aNow);
  m_origins.Count(aEvent.m_header.m_route, aEvent.m_originService, aNow);
  Call call;
  call.m_header = aEvent.m_header;
  call.m_deadline = aNow + aEvent.m_header.m_remaining;
  m_calls.emplace(aEvent.m_call, std::move(call));
  Enqueue(aEvent.m_call, aNow, aActions);
}

void
RelayGateFlow::Handle(const RelayCallerDisconnected& aEvent,
                      Instant aNow,
                      RelayActions& aActions)
{
  const auto call = m_calls.find(aEvent.m_call);
  if (call == m_calls.end()) {
    return;
  }
  const bool isWaiting =
    m_suspectQueue.IsWaiting(aEvent.m_call) || m_queue.Withdraw(aEvent.m_call);
  const Instant arrived =
    call->second.m_deadline - call->second.m_header.m_remaining;
  aActions.emplace_back(
    LogDecision{ "caller-left",
                 aEvent.m_call,
                 fmt::format("\"at\":\"{}\",\"route\":\"{}\",\"held_ms\":{}",
                             isWaiting ? "queue" : "server",
                             call->second.m_header.m_route,
                             ToMilliseconds(aNow - arrived)) });
  if (isWaiting) {
    Erase(aEvent.m_call);
    return;
  }
  call->second.m_isCallerDisconnected = true;
  if (call->second.m_header.m_isIdempotent) {
    aActions.emplace_back(CancelRelayDispatch{ aEvent.m_call });
  }
}

void
RelayGateFlow::Handle(const DispatchEnded& aEvent,
                      Instant aNow,
                      RelayActions& aActions)
{
  const auto found = m_calls.find(aEvent.m_call);
  if (found == m_calls.end()) {
    return;
  }
  const Call& call = found->second;
  const std::string route = call.m_header.m_route;
  const bool isAnswered = aEvent.m_result == DispatchResult::Answered;
  if (isAnswered) {
    m_load.RecordTime(route, aNow - call.m_dispatched);
    m_shared.m_pattern.RecordRunTime(route, aNow - call.m_dispatched, aNow);
  } else {
    aActions.emplace_back(LogDecision{
      "server-ended",
      aEvent.m_call,
      fmt::format("\"verdict\":\"{}\",\"server\":\"{}\","
                  "\"ran_ms\":{},\"running\":{},\"earlier\":{},"
                  "\"sender\":{},"
                  "\"content\":\"{}\"",
                  ToText(aEvent.m_result),
                  Server().m_id,
                  ToMilliseconds(aNow - call.m_dispatched),
                  m_queue.Running(),
                  aEvent.m_earlier,
                  !call.m_isCallerDisconnected,
                  ToText(call.m_header.m_content.value_or(RequestKey()))) });
  }
  if (aEvent.m_condition && aEvent.m_result != DispatchResult::WrongServer) {
    OnConditionReported(call, *aEvent.m_condition, aNow, aActions);
  }
  if (aEvent.m_result == DispatchResult::Broken) {
    OnConnectionBroken(aEvent, aNow, aActions);
    return;
  }
  OnEnded(aEvent, aNow, aActions);
  // A cancelled connection attempt says nothing about the server.
  const bool isCancelled = call.m_isCallerDisconnected &&
                           aEvent.m_result == DispatchResult::Unreachable;
  if (call.m_isCallerDisconnected) {
    Erase(aEvent.m_call);
  } else {
    Answer(aEvent.m_call, ReportOf(aEvent.m_result), aNow, aActions);
  }
  if (aEvent.m_result == DispatchResult::WrongServer ||
      (aEvent.m_result == DispatchResult::Unreachable && !isCancelled)) {
    OnUnreachable(aEvent.m_result, aNow, aActions);
  } else if (aEvent.m_result != DispatchResult::CallerLeft && !isCancelled) {
    m_consecutiveUnreachable = 0;
  }
  GateDecisions decisions;
  m_queue.Finish(aEvent.m_call, aNow, decisions);
  ApplyDecisions(decisions, aNow, aActions);
}

void
RelayGateFlow::Handle(const BackendAnnounced& aEvent,
                      Instant aNow,
                      RelayActions& aActions)
{
  OnServerChange(m_announcements.Announce(aEvent.m_announcement, aNow),
                 "announcement",
                 aNow,
                 aActions);
}

void
RelayGateFlow::Handle(const BackendLeft& aEvent,
                      Instant aNow,
                      RelayActions& aActions)
{
  OnServerChange(m_announcements.Leave(aEvent.m_id, aEvent.m_born, aNow),
                 "departure",
                 aNow,
                 aActions);
}

void
RelayGateFlow::Handle(const HealthChecked& aEvent,
                      Instant aNow,
                      RelayActions& aActions)
{
  m_isCheckingHealth = false;
  const bool isSameServer = aEvent.m_id.empty() || aEvent.m_id == Server().m_id;
  if (aEvent.m_isUnreachable || !isSameServer) {
    m_crashDetector.OnUnreachable();
  } else if (aEvent.m_condition) {
    m_crashDetector.OnAlive();
  }
  const bool isLeaving = aEvent.m_condition && aEvent.m_condition->m_isLeaving;
  if (!aEvent.m_isHealthy || aEvent.m_id.empty() || isLeaving) {
    return;
  }
  OnServerChange(m_announcements.OnHealthCheck({ aEvent.m_id,
                                                 m_shared.m_settings.m_service,
                                                 aEvent.m_slots,
                                                 ServerState::Ready }),
                 "health",
                 aNow,
                 aActions);
  if (aEvent.m_condition && aEvent.m_id == Server().m_id &&
      *aEvent.m_condition != m_condition) {
    SetCondition(*aEvent.m_condition, "health", aNow, aActions);
  }
  if (!m_isDepartureKnown && aNow >= m_rowReadDeadline &&
      aEvent.m_id == Server().m_id) {
    OnDepartureKnown("health", aNow, aActions);
  }
}

void
RelayGateFlow::OnNodesRead(Instant aNow, RelayActions& aActions)
{
  if (std::exchange(m_hasReadOwnRow, true)) {
    return;
  }
  const NodeRow* row = m_shared.m_directory.Find(m_shared.m_settings.m_host);
  if (row != nullptr && row->m_departure) {
    OnServerChange(m_announcements.RestoreDeparture(*row->m_departure),
                   "row",
                   aNow,
                   aActions);
  }
  if (!m_isDepartureKnown) {
    OnDepartureKnown("row", aNow, aActions);
  }
}

void
RelayGateFlow::Close(Instant aNow, RelayActions& aActions)
{
  OnServerChange(AnnouncementResult::Changed, "shutdown", aNow, aActions);
}

void
RelayGateFlow::Advance(Instant aNow, RelayActions& aActions)
{
  DecideCrash(aNow, aActions);
  RefuseLateSuspects(aNow, aActions);
  GateDecisions decisions;
  m_queue.Advance(aNow, decisions);
  ApplyDecisions(decisions, aNow, aActions);
  RunNextSuspect(aNow, aActions);
  if (m_rowReadDeadline == Instant::max()) {
    m_rowReadDeadline = aNow + kRowReadTimeout;
  }
  if (aNow >= HealthCheckTime().value_or(Instant::max())) {
    RequestHealthCheck(aNow, aActions);
  }
}

double
RelayGateFlow::Load(Instant aNow) const
{
  return std::max(SlotLoad(aNow),
                  m_queue.Limit() > 0 ? m_queue.RateLoad(aNow) : 0);
}

std::optional<Instant>
RelayGateFlow::NextWakeup() const
{
  const std::optional<Instant> healthCheck =
    FindServiceToCheck() != nullptr ? HealthCheckTime() : std::nullopt;
  std::optional<Instant> due = m_queue.NextWakeup();
  for (const std::optional<Instant>& other :
       { healthCheck, m_crashDetector.DecideBy(), NextSuspectTime() }) {
    if (other) {
      due = std::min(due.value_or(Instant::max()), *other);
    }
  }
  return due;
}

//==============================================================================
/* Requests still running at a closed gate say nothing about its capacity. */
double
RelayGateFlow::SlotLoad(Instant aNow) const
{
  return m_queue.Limit() > 0
           ? m_load.Load(m_queue.Limit(), m_queue.Waiting(), aNow)
           : 0;
}

void
RelayGateFlow::RequestHealthCheck(Instant aNow, RelayActions& aActions)
{
  if (const RoutedService* service = FindServiceToCheck()) {
    m_isCheckingHealth = true;
    m_nextHealthCheck = aNow + kHealthCheckInterval;
    aActions.emplace_back(CheckHealth{ service->m_healthPath });
  }
}

/* Returns when the health of the server is to be checked next; nothing while
   its state does not depend on it. */
std::optional<Instant>
RelayGateFlow::HealthCheckTime() const
{
  if (Server().m_state == ServerState::Absent) {
    return m_nextHealthCheck;
  }
  if (Server().m_state == ServerState::Ready && !m_isDepartureKnown) {
    return std::max(m_nextHealthCheck, m_rowReadDeadline);
  }
  return std::nullopt;
}

/* Opens the gate if the server has announced itself meanwhile. */
void
RelayGateFlow::OnDepartureKnown(std::string_view aCause,
                                Instant aNow,
                                RelayActions& aActions)
{
  m_isDepartureKnown = true;
  if (Server().m_state == ServerState::Ready) {
    OnServerChange(AnnouncementResult::Changed, aCause, aNow, aActions);
  }
}

/* Returns the configured service of the host if its server may be checked;
   null if it is unknown, or a health check is in progress. */
const RoutedService*
RelayGateFlow::FindServiceToCheck() const
{
  if (m_isCheckingHealth || m_shared.m_isLeaving) {
    return nullptr;
  }
  const auto& services =
    m_shared.m_routes.Current()->Configuration().m_services;
  const auto service = services.find(m_shared.m_settings.m_service);
  return service != services.end() ? &service->second : nullptr;
}

bool
RelayGateFlow::IsOpen() const
{
  return Server().m_state == ServerState::Ready && m_isDepartureKnown &&
         !m_shared.m_isLeaving && Server().m_slots > 0;
}

/* Returns the most loaded service on the path of the route's requests, the
   host's own included. */
PathBottleneck
RelayGateFlow::FindBottleneck(const std::string& aRoute, Instant aNow) const
{
  PathBottleneck downstream = m_shared.DownstreamBottleneck(aRoute, aNow);
  const double own = SlotLoad(aNow);
  return downstream.m_load > own
           ? downstream
           : PathBottleneck{ m_shared.m_settings.m_service,
                             own,
                             m_load.MeanTime(aRoute) };
}

/* Logs what was decided on calls since the last report. */
void
RelayGateFlow::ReportQueue(Instant aNow, RelayActions& aActions)
{
  if (aNow < m_nextQueueReport) {
    return;
  }
  m_nextQueueReport = aNow + kQueueReportInterval;
  const SlotQueueCounts counts = m_queue.TakeCounts();
  const Duration meanWait =
    counts.m_waited / std::max<Duration::rep>(counts.m_dispatched, 1);
  aActions.emplace_back(LogDecision{
    "gate-queue",
    std::nullopt,
    fmt::format("\"offered\":{},\"dispatched\":{},\"refused_late\":{},"
                "\"refused_full\":{},\"mean_wait_us\":{},\"running\":{},"
                "\"waiting\":{},\"limit\":{},\"load\":{:.2f}",
                counts.m_offered,
                counts.m_dispatched,
                counts.m_refusedLate,
                counts.m_refusedFull,
                meanWait.count(),
                m_queue.Running(),
                m_queue.Waiting(),
                m_queue.Limit(),
                Load(aNow)) });
}

/* Why a gate that is not open refuses requests. */
Reason
RelayGateFlow::ClosedReason() const
{
  return Server().m_state == ServerState::Absent ? Reason::NoServer
                                                 : Reason::Leaving;
}

void
RelayGateFlow::ApplyDecisions(GateDecisions& aDecisions,
                              Instant aNow,
                              RelayActions& aActions)
{
  for (const GateDecision& decision : aDecisions) {
    if (const auto* dispatch = std::get_if<GateDispatch>(&decision)) {
      Dispatch(dispatch->m_call, aNow, aActions);
      continue;
    }
    const auto& refusal = std::get<GateRefusal>(decision);
    Answer(refusal.m_call, NotRunReport(refusal.m_reason), aNow, aActions);
  }
}

void
RelayGateFlow::Dispatch(CallId aCall, Instant aNow, RelayActions& aActions)
{
  if (!PassSuspectCheck(aCall, aNow, aActions)) {
    GateDecisions decisions;
    m_queue.Finish(aCall, aNow, decisions);
    ApplyDecisions(decisions, aNow, aActions);
    return;
  }
  Call& call = m_calls.at(aCall);
  m_crashDetector.Begin(
    { aCall, call.m_header.m_content.value_or(RequestKey()) }, aNow);
  call.m_dispatched = aNow;
  call.m_server = m_announcements.Start();
  ++m_conditionDispatches;
  m_shared.m_pattern.CountRun(call.m_header.m_route, aNow);
  aActions.emplace_back(DispatchRequest{ aCall,
                                         Server().m_id,
                                         call.m_deadline - aNow,
                                         call.m_header.m_isIdempotent });
}

void
RelayGateFlow::Answer(CallId aCall,
                      RelayReport aReport,
                      Instant aNow,
                      RelayActions& aActions)
{
  const auto call = m_calls.find(aCall);
  aReport.m_gateLoad = Load(aNow);
  PathBottleneck bottleneck =
    FindBottleneck(call->second.m_header.m_route, aNow);
  aReport.m_pathLoad = bottleneck.m_load;
  aReport.m_bottleneck = std::move(bottleneck.m_service);
  aReport.m_pathWork = bottleneck.m_work;
  aReport.m_generation = m_shared.m_routes.ActiveGeneration();
  aReport.m_server = MakeServerReport();
  aReport.m_isCalledRoute = m_origins.IsChildCallRoute(
    call->second.m_header.m_route, m_shared.m_hostCounts);
  if (call->second.m_header.m_content) {
    aReport.m_suspect =
      m_shared.m_suspects.Find(*call->second.m_header.m_content, aNow);
  }
  Erase(aCall);
  aActions.emplace_back(AnswerPeer{ aCall, aReport });
}

void
RelayGateFlow::OnServerChange(AnnouncementResult aResult,
                              std::string_view aCause,
                              Instant aNow,
                              RelayActions& aActions)
{
  const bool isOtherStart =
    !MayBeSame(m_conditionServer, m_announcements.Start());
  if (isOtherStart) {
    m_crashDetector.OnUnreachable();
    m_hasServerAnswered = false;
    if (m_condition != ServerCondition()) {
      SetCondition({}, "start", aNow, aActions);
    }
  }
  m_conditionServer = m_announcements.Start();
  if (aResult == AnnouncementResult::Unchanged && !isOtherStart) {
    return;
  }
  aActions.emplace_back(
    LogDecision{ "server-state",
                 std::nullopt,
                 fmt::format("\"cause\":\"{}\",\"stale\":{},\"server\":\"{}\","
                             "\"start\":{},\"service\":\"{}\",\"slots\":{},"
                             "\"state\":\"{}\"",
                             aCause,
                             aResult == AnnouncementResult::Stale,
                             Server().m_id,
                             ToText(m_announcements.Start().m_startTime),
                             Server().m_service,
                             Server().m_slots,
                             ToText(Server().m_state)) });
  if (aResult == AnnouncementResult::Stale) {
    return;
  }
  GateDecisions decisions;
  m_consecutiveUnreachable = 0;
  m_queue.SetLimit(IsOpen() ? Limit() : 0, aNow, decisions);
  if (!IsOpen()) {
    m_queue.RefuseWaiting(ClosedReason(), decisions);
    RefuseWaitingSuspects(aNow, aActions);
  }
  ApplyDecisions(decisions, aNow, aActions);
}

/* The server's own answers go before the reports of other nodes. */
void
RelayGateFlow::OnConditionReported(const Call& aCall,
                                   const ServerCondition& aCondition,
                                   Instant aNow,
                                   RelayActions& aActions)
{
  if (!MayBeSame(aCall.m_server, m_announcements.Start())) {
    return;
  }
  m_hasServerAnswered = true;
  if (aCondition != m_condition) {
    SetCondition(aCondition, "server", aNow, aActions);
  }
  if (aCondition.m_isLeaving) {
    MarkLeaving(aCall.m_server, "answer", aNow, aActions);
  }
}

/* A gate that has restarted does not know what its server answered before; the
   nodes that have passed on those answers do. */
void
RelayGateFlow::AdoptKnownReport(const ServerReport& aReport,
                                Instant aNow,
                                RelayActions& aActions)
{
  if (Server().m_id.empty() ||
      !MayBeSame(aReport.m_start, m_announcements.Start())) {
    return;
  }
  if (!m_hasServerAnswered && aReport.m_condition != m_condition) {
    SetCondition(aReport.m_condition, "node", aNow, aActions);
  }
  // Leaving is final for a start, so it holds whatever the server answered
  // since. A report without a start time may be about an earlier one.
  const bool isKnownStart =
    aReport.m_start.m_startTime || !m_announcements.Start().m_startTime;
  if (aReport.m_condition.m_isLeaving && isKnownStart) {
    MarkLeaving(aReport.m_start, "node", aNow, aActions);
  }
}

void
RelayGateFlow::MarkLeaving(const ServerStart& aStart,
                           std::string_view aCause,
                           Instant aNow,
                           RelayActions& aActions)
{
  OnServerChange(m_announcements.Leave(aStart.m_id, aStart.m_startTime, aNow),
                 aCause,
                 aNow,
                 aActions);
}

void
RelayGateFlow::SetCondition(const ServerCondition& aCondition,
                            std::string_view aSource,
                            Instant aNow,
                            RelayActions& aActions)
{
  const double seconds = ToSeconds(aNow - m_conditionSince);
  aActions.emplace_back(LogDecision{
    "server-condition",
    std::nullopt,
    fmt::format("\"source\":\"{}\",\"server\":\"{}\",\"rate_limit\":{},"
                "\"leaving\":{},\"before\":{},\"before_ms\":{},"
                "\"dispatched_per_s\":{:.1f}",
                aSource,
                Server().m_id,
                ToText(aCondition.m_rateLimit),
                aCondition.m_isLeaving,
                ToText(m_condition.m_rateLimit),
                ToMilliseconds(aNow - m_conditionSince),
                seconds > 0
                  ? static_cast<double>(m_conditionDispatches) / seconds
                  : 0) });
  m_condition = aCondition;
  m_conditionSince = aNow;
  m_conditionDispatches = 0;
  if (m_shared.m_settings.m_hasOverloadControl) {
    GateDecisions decisions;
    m_queue.SetRateLimit(aCondition.m_rateLimit, aNow, decisions);
    ApplyDecisions(decisions, aNow, aActions);
  }
}

void
RelayGateFlow::OnUnreachable(DispatchResult aResult,
                             Instant aNow,
                             RelayActions& aActions)
{
  if (++m_consecutiveUnreachable >= kUnreachableLimit ||
      aResult == DispatchResult::WrongServer) {
    m_nextHealthCheck = aNow;
    OnServerChange(
      m_announcements.MarkUnreachable(), ToText(aResult), aNow, aActions);
  }
}

/* Returns nothing if there is no server, or if nothing restricts its use. */
std::optional<ServerReport>
RelayGateFlow::MakeServerReport() const
{
  const bool isLeaving = Server().m_state == ServerState::Leaving;
  if (Server().m_id.empty() || (!isLeaving && !m_condition.m_rateLimit)) {
    return std::nullopt;
  }
  return ServerReport{ m_announcements.Start(),
                       { m_condition.m_rateLimit, isLeaving } };
}

std::uint32_t
RelayGateFlow::Limit() const
{
  if (!m_shared.m_settings.m_hasOverloadControl) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  return std::max(
    1U, static_cast<std::uint32_t>(Server().m_slots * kUsableSlotShare));
}

}
