#include "cr_relay/flow/cr_RelayEntryFlow.h"

#include <algorithm>

#include <fmt/format.h>

namespace cr {

namespace {

/* Max number of times that one request is forwarded, hosts that did not accept
   it included. */
constexpr std::size_t kMaxForwards = 6;
/* Max number of routes with admission state. */
constexpr std::size_t kMaxAdmissions = 8192;
/* Max number of services that limit requests and are tracked. */
constexpr std::size_t kMaxBottlenecks = 1024;
/* Max number of times that a request is forwarded if gates refuse it because of
   rate limits. */
constexpr std::size_t kMaxRateLimitedForwards = 3;
/* From this number of reports on, those about hosts that are gone are removed.
 */
constexpr std::size_t kMaxServerReports = 1024;
/* A customer's request may wait for a slot for 1/8 of its objective. A retry
   after a refusal within that time can still meet the objective. */
constexpr int kCustomerWaitDivisor = 8;
/* A child call may wait for a slot for half of its remaining time. */
constexpr int kChildCallWaitDivisor = 2;
/* Above this load of a gate, requests for it spread over the whole region. */
constexpr double kBusyLoad = 0.95;
/* A host that refused a connection is skipped for this time while there are
   other hosts. */
constexpr Duration kUnreachableHostPause = Seconds(1);
/* A failed request is not run again from this path load on; a child call is,
   because the request that makes it would be lost with all its other calls. */
constexpr double kMaxRetryLoad = 1.0;
constexpr double kMaxChildCallRetryLoad = 2.0;
/* A refused customer retries after at least this fraction of the objective,
   plus a random part of the spread, but never after more than a third of its
   remaining time, so that time for the retry is left. */
constexpr double kRetryAfterMin = 0.15;
constexpr double kRetryAfterSpread = 0.35;
constexpr double kRetryAfterMaxRemaining = 0.33;

/* Time between log lines on the admission of each route. */
constexpr Duration kAdmissionReportInterval = Seconds(1);
/* The limit, in logs and metrics, that refuses a request at the gates. */
constexpr std::string_view kGateLimit = "gate";

constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusBadGateway = 502;
constexpr unsigned kStatusUnavailable = 503;
constexpr unsigned kStatusTimeout = 504;

/* The cached state of the host is outdated: its server is leaving or absent,
   and the request reached no server. */
bool
IsTargetUnavailable(const RelayReport& aReport)
{
  return aReport.m_outcome == Outcome::NotRun && !aReport.m_hasReachedServer &&
         (aReport.m_reason == Reason::Leaving ||
          aReport.m_reason == Reason::NoServer);
}

AttemptResult
ToAttemptResult(const RelayReport& aReport, Duration aLatency)
{
  AttemptResult result;
  result.m_answered =
    aReport.m_outcome == Outcome::Completed && !aReport.m_isServerError;
  result.m_refused = aReport.m_outcome == Outcome::NotRun &&
                     (aReport.m_reason == Reason::Overloaded ||
                      aReport.m_reason == Reason::RateLimited);
  // A suspect is refused for what it is: that tells nothing about the host.
  result.m_connectionLost = aReport.m_reason == Reason::Suspect;
  result.m_latency = aLatency;
  if (aReport.m_server && aReport.m_server->m_condition.m_rateLimit) {
    result.m_rateLoad = aReport.m_gateLoad;
  }
  result.m_level = aReport.m_gateLoad > kBusyLoad ? 1 : 0;
  return result;
}

}

RelayEntryFlow::RelayEntryFlow(RelayShared& aShared)
  : m_shared(aShared)
  , m_random(Hash(aShared.m_settings.m_seed, 1))
  , m_rotation(Hash(aShared.m_settings.m_seed, 2))
  , m_budget({ aShared.m_settings.m_retryRatio,
               aShared.m_settings.m_retrySlack,
               aShared.m_settings.m_retryWindow })
{
}

void
RelayEntryFlow::Handle(const RequestArrived& aEvent,
                       Instant aNow,
                       RelayActions& aActions)
{
  Call call;
  call.m_id = aEvent.m_call;
  call.m_table = m_shared.m_routes.Current();
  call.m_route = call.m_table->Find(aEvent.m_hostName, aEvent.m_target);
  call.m_content = aEvent.m_content;
  call.m_arrived = aNow - aEvent.m_waited;
  call.m_deadline =
    call.m_arrived + aEvent.m_callerTimeout.value_or(Seconds(1));
  if (m_shared.m_routes.ActiveGeneration() == 0) {
    Refuse(
      call, kStatusUnavailable, Reason::StoreUnavailable, {}, aNow, aActions);
    return;
  }
  if (call.m_route == nullptr) {
    Refuse(call, kStatusNotFound, Reason::UnknownService, {}, aNow, aActions);
    return;
  }
  const Duration timeout =
    std::min(aEvent.m_callerTimeout.value_or(call.m_route->m_timeout),
             call.m_route->m_timeout);
  call.m_deadline = call.m_arrived + timeout;
  call.m_service = m_rotation.Next(*call.m_route);
  call.m_isChildCall = m_shared.m_calledRoutes.contains(call.m_route->m_name);
  if (call.m_isChildCall) {
    m_shared.m_pattern.CountCall(call.m_route->m_name, aNow);
  } else if (m_shared.m_settings.m_hasOverloadControl) {
    ReportAdmissions(aNow, aActions);
    const AdmissionLimit limit = Admit(aEvent, call, aNow);
    if (limit != AdmissionLimit::None) {
      Refuse(call,
             kStatusUnavailable,
             Reason::Overloaded,
             ToText(limit),
             aNow,
             aActions);
      return;
    }
  }
  m_budget.CountRequest(call.m_service, aNow);
  Call& stored = m_calls.emplace(call.m_id, std::move(call)).first->second;
  SendNextAttempt(stored, aNow, aActions);
}

void
RelayEntryFlow::Handle(const RelayCallerDisconnected& aEvent,
                       Instant aNow,
                       RelayActions& aActions)
{
  const auto found = m_calls.find(aEvent.m_call);
  if (found == m_calls.end()) {
    return;
  }
  Call& call = found->second;
  aActions.emplace_back(
    LogDecision{ "caller-left",
                 call.m_id,
                 fmt::format("\"at\":\"entry\",\"host\":\"{}\",\"held_ms\":{}",
                             call.m_target ? call.m_target->m_host : "",
                             ToMilliseconds(aNow - call.m_arrived)) });
  if (call.m_target) {
    AttemptResult result;
    result.m_connectionLost = true;
    ReportAttempt(call, result, aNow);
    aActions.emplace_back(CancelForward{ call.m_id });
  }
  Finish(call);
}

void
RelayEntryFlow::Handle(const ForwardAnswered& aEvent,
                       Instant aNow,
                       RelayActions& aActions)
{
  const auto found = m_calls.find(aEvent.m_call);
  if (found != m_calls.end() && found->second.m_target) {
    if (!m_shared.m_unreachableHosts.empty()) {
      m_shared.m_unreachableHosts.erase(found->second.m_target->m_host);
    }
    ResolveAttempt(found->second, aEvent.m_report, aNow, aActions);
  }
}

void
RelayEntryFlow::Handle(const ForwardFailed& aEvent,
                       Instant aNow,
                       RelayActions& aActions)
{
  const auto found = m_calls.find(aEvent.m_call);
  if (found == m_calls.end() || !found->second.m_target) {
    return;
  }
  Call& call = found->second;
  aActions.emplace_back(
    LogDecision{ "forward-failed",
                 call.m_id,
                 fmt::format("\"host\":\"{}\",\"sent\":{},\"timed_out\":{}",
                             call.m_target->m_host,
                             aEvent.m_sent,
                             aEvent.m_timedOut) });
  if (!aEvent.m_sent) {
    m_shared.m_unreachableHosts
      .try_emplace(call.m_target->m_host, UnreachableHost{ aNow, aNow })
      .first->second.m_lastFailure = aNow;
  }
  RelayReport report;
  report.m_outcome = aEvent.m_sent ? Outcome::Unknown : Outcome::NotRun;
  report.m_hasReachedServer = aEvent.m_sent;
  report.m_reason = aEvent.m_timedOut ? Reason::DeadlineTooShort
                    : aEvent.m_sent   ? Reason::ConnectionLost
                                      : Reason::NoServer;
  ResolveAttempt(call, report, aNow, aActions);
}

void
RelayEntryFlow::OnFleetChanged()
{
  m_budget.SetNodes(m_shared.m_directory.Size());
}

//==============================================================================
AdmissionLimit
RelayEntryFlow::Admit(const RequestArrived& aEvent,
                      const Call& aCall,
                      Instant aNow)
{
  const std::string& name = aCall.m_route->m_name;
  if (m_admissions.size() >= kMaxAdmissions && !m_admissions.contains(name)) {
    m_admissions.clear();
  }
  return m_admissions[name].Admit(
    aEvent.m_callerTimeout, AdmittedShareOf(name, aNow), m_random.NextDouble());
}

/* Counts a request of the route and returns the share that all services on its
   path can take. */
double
RelayEntryFlow::AdmittedShareOf(const std::string& aRoute, Instant aNow)
{
  double share = 1;
  for (auto& [service, shares] : m_bottlenecks) {
    shares.CountArrival(aRoute, aNow);
    share = std::min(share, shares.ShareOf(aRoute, aNow));
  }
  return share;
}

/* Logs what was decided on the requests of each route that had some. */
void
RelayEntryFlow::ReportAdmissions(Instant aNow, RelayActions& aActions)
{
  if (aNow < m_nextAdmissionReport) {
    return;
  }
  m_nextAdmissionReport = aNow + kAdmissionReportInterval;
  for (auto& [route, admission] : m_admissions) {
    const AdmissionCounts counts = admission.TakeCounts();
    if (counts.m_admitted + counts.m_aboveShare + counts.m_aboveInFlight == 0) {
      continue;
    }
    aActions.emplace_back(LogDecision{
      "route-admission",
      std::nullopt,
      fmt::format("\"route\":\"{}\",\"admitted\":{},\"above_share\":{},"
                  "\"above_in_flight\":{},\"share\":{:.2f},\"bound\":{:.0f},"
                  "\"in_flight\":{},\"load\":{:.2f},\"loads\":{}",
                  route,
                  counts.m_admitted,
                  counts.m_aboveShare,
                  counts.m_aboveInFlight,
                  admission.Share(),
                  admission.Bound(),
                  admission.InFlight(),
                  counts.m_loads > 0 ? counts.m_loadSum / counts.m_loads : 0,
                  counts.m_loads) });
  }
}

RouteAdmission*
RelayEntryFlow::FindAdmission(const Call& aCall)
{
  const auto admission = aCall.m_route != nullptr
                           ? m_admissions.find(aCall.m_route->m_name)
                           : m_admissions.end();
  return admission != m_admissions.end() ? &admission->second : nullptr;
}

void
RelayEntryFlow::Finish(const Call& aCall)
{
  RouteAdmission* admission = FindAdmission(aCall);
  if (!aCall.m_isChildCall && admission != nullptr) {
    admission->End();
  }
  m_calls.erase(aCall.m_id);
}

void
RelayEntryFlow::SendNextAttempt(Call& aCall,
                                Instant aNow,
                                RelayActions& aActions)
{
  const auto router = m_shared.m_routers.find(aCall.m_service);
  if (aCall.m_deadline <= aNow || aCall.m_triedHosts.size() >= kMaxForwards ||
      router == m_shared.m_routers.end()) {
    FinishUnanswered(aCall, aNow, aActions);
    return;
  }
  auto target = ChooseTarget(aCall, router->second, aNow);
  if (!target) {
    FinishUnanswered(aCall, aNow, aActions);
    return;
  }
  aCall.m_triedHosts.push_back(target->m_host);
  aCall.m_sent = aNow;
  RelayHeader header;
  header.m_service = aCall.m_service;
  header.m_route = aCall.m_route->m_name;
  header.m_remaining = aCall.m_deadline - aNow;
  header.m_maxWait =
    aCall.m_isChildCall
      ? header.m_remaining / kChildCallWaitDivisor
      : std::max(Duration::zero(),
                 aCall.m_arrived +
                   aCall.m_route->m_objective / kCustomerWaitDivisor - aNow);
  header.m_priority = aCall.m_route->m_priority;
  header.m_isChildCall = aCall.m_isChildCall;
  header.m_isIdempotent = aCall.m_route->m_idempotent;
  header.m_generation = m_shared.m_routes.ActiveGeneration();
  header.m_content = aCall.m_content;
  header.m_suspect = m_shared.m_suspects.Find(aCall.m_content, aNow);
  const auto known = m_shared.m_serverReports.find(target->m_host);
  if (known != m_shared.m_serverReports.end()) {
    header.m_knownServer = known->second;
  }
  aActions.emplace_back(
    ForwardRequest{ aCall.m_id, target->m_peer, std::move(header) });
  aCall.m_target = std::move(target);
}

std::optional<RouteTarget>
RelayEntryFlow::ChooseTarget(const Call& aCall,
                             Router& aRouter,
                             Instant aNow) const
{
  const Rank rank = RankOf(Importance::Protected, 0);
  if (!m_shared.m_settings.m_hasOverloadControl) {
    return aRouter.Choose(rank, {}, aNow);
  }
  if (!m_shared.m_unreachableHosts.empty()) {
    std::vector<HostName> excluded = aCall.m_triedHosts;
    for (const auto& [host, unreachable] : m_shared.m_unreachableHosts) {
      if (aNow - unreachable.m_lastFailure < kUnreachableHostPause) {
        excluded.push_back(host);
      }
    }
    if (auto target =
          aRouter.Choose(rank, excluded, aNow, aCall.m_route->m_idempotent)) {
      return target;
    }
  }
  auto target =
    aRouter.Choose(rank, aCall.m_triedHosts, aNow, aCall.m_route->m_idempotent);
  // Servers that refuse only some requests may accept this one next time.
  return !target && aCall.m_lastReason == Reason::ServerFailed
           ? aRouter.Choose(rank, {}, aNow)
           : target;
}

void
RelayEntryFlow::ResolveAttempt(Call& aCall,
                               const RelayReport& aReport,
                               Instant aNow,
                               RelayActions& aActions)
{
  RecordLoad(aCall, aReport, aNow);
  RecordServer(aCall.m_target->m_host, aReport);
  if (aReport.m_suspect) {
    m_shared.m_suspects.Merge({ &*aReport.m_suspect, 1 }, aNow);
  }
  ReportAttempt(aCall, ToAttemptResult(aReport, aNow - aCall.m_sent), aNow);
  aCall.m_runs += aReport.m_outcome != Outcome::NotRun ? 1 : 0;
  aCall.m_lastReason = aReport.m_reason;
  const bool isAnswered = aReport.m_outcome == Outcome::Completed;
  if (isAnswered && !aReport.m_isServerError) {
    if (aCall.m_isChildCall) {
      m_shared.m_pattern.RecordCallTime(
        aCall.m_route->m_name, aNow - aCall.m_arrived, aNow);
    }
    aActions.emplace_back(RelayAnswer{ aCall.m_id });
    Finish(aCall);
    return;
  }
  aCall.m_hasErrorAnswer |= isAnswered;
  if (MayRetry(aCall, aReport, aNow)) {
    aActions.emplace_back(
      LogDecision{ "retry",
                   aCall.m_id,
                   fmt::format("\"reason\":\"{}\",\"outcome\":\"{}\","
                               "\"runs\":{},\"path_load\":{:.2f},"
                               "\"content\":\"{}\"",
                               ToText(aReport.m_reason),
                               ToText(aReport.m_outcome),
                               aCall.m_runs,
                               aReport.m_pathLoad,
                               ToText(aCall.m_content)) });
    SendNextAttempt(aCall, aNow, aActions);
    return;
  }
  FinishUnanswered(aCall, aNow, aActions);
}

bool
RelayEntryFlow::MayRetry(const Call& aCall,
                         const RelayReport& aReport,
                         Instant aNow)
{
  if (!m_shared.m_settings.m_hasOverloadControl || aCall.m_deadline <= aNow) {
    return false;
  }
  if (m_shared.m_suspects.IsRefused(aCall.m_content, aNow)) {
    return false;
  }
  if (IsTargetUnavailable(aReport)) {
    return true;
  }
  if (aReport.m_outcome == Outcome::NotRun && !aReport.m_hasReachedServer) {
    // A rate limit of one server says nothing about the load of the others.
    if (aReport.m_reason == Reason::RateLimited) {
      return aCall.m_triedHosts.size() < kMaxRateLimitedForwards;
    }
    // The gate is full: only a child call is queued at one more gate.
    return aCall.m_isChildCall && aCall.m_triedHosts.size() < 2;
  }
  return MayRetryDispatched(aCall, aReport, aNow);
}

/* For requests that reached a backend server. */
bool
RelayEntryFlow::MayRetryDispatched(const Call& aCall,
                                   const RelayReport& aReport,
                                   Instant aNow)
{
  const bool mayRunAgain = aCall.m_route->m_idempotent || aCall.m_runs == 0;
  return mayRunAgain && aReport.m_reason != Reason::DeadlineTooShort &&
         aCall.m_runs < aCall.m_route->m_attempts &&
         aReport.m_pathLoad <
           (aCall.m_isChildCall ? kMaxChildCallRetryLoad : kMaxRetryLoad) &&
         m_budget.TryConsumeRetry(aCall.m_service, aNow);
}

void
RelayEntryFlow::RecordLoad(const Call& aCall,
                           const RelayReport& aReport,
                           Instant aNow)
{
  const std::string& name = aCall.m_route->m_name;
  if (!aReport.m_hasReachedServer && aReport.m_reason != Reason::Overloaded &&
      aReport.m_reason != Reason::RateLimited) {
    return;
  }
  // A node without room for the request has not asked its gate.
  if (!aReport.m_hasReachedServer && aReport.m_gateLoad <= 0 &&
      aReport.m_pathLoad <= 0) {
    return;
  }
  if (aReport.m_isCalledRoute) {
    m_shared.m_calledRoutes.insert(name);
  } else {
    m_shared.m_calledRoutes.erase(name);
  }
  const bool isRateTheBottleneck = aReport.m_gateLoad > aReport.m_pathLoad;
  if (isRateTheBottleneck && HasUnrestrictedHost(aCall.m_service, aNow)) {
    return;
  }
  const double load = std::max(aReport.m_gateLoad, aReport.m_pathLoad);
  const std::string& bottleneck =
    isRateTheBottleneck ? aCall.m_service : aReport.m_bottleneck;
  if (aCall.m_isChildCall) {
    if (load > 0) {
      ChildCallPath& path = m_shared.m_childCallPaths[name];
      path.m_load.Record(load, aNow);
      path.m_bottleneck = bottleneck;
      path.m_work = aReport.m_pathWork;
    }
    return;
  }
  bool isSpared = false;
  // A path load of 0 means that none was reported; the share would rise.
  if (load > 0 && FindOrAddBottleneck(bottleneck, aNow)) {
    BottleneckShares& shares = m_bottlenecks.at(bottleneck);
    shares.RecordReport(name,
                        { load,
                          aReport.m_pathWork,
                          aNow - aCall.m_arrived,
                          aCall.m_route->m_priority },
                        aNow);
    isSpared = shares.TotalShare() < 1 && shares.ShareOf(name, aNow) >= 1;
  }
  if (RouteAdmission* admission = FindAdmission(aCall)) {
    // Other routes give way for a route that is admitted whole.
    admission->RecordLoad(isSpared ? std::min(load, kTargetLoad) : load, aNow);
  }
}

/* Returns false if too many services are in use. */
bool
RelayEntryFlow::FindOrAddBottleneck(const std::string& aService, Instant aNow)
{
  if (m_bottlenecks.contains(aService)) {
    return true;
  }
  std::erase_if(m_bottlenecks, [&](const auto& aShares) {
    return aShares.second.IsUnused(aNow);
  });
  return m_bottlenecks.size() < kMaxBottlenecks &&
         m_bottlenecks.try_emplace(aService, kTargetLoad).second;
}

/* Requests above the rate limit of one host fit at such a host. */
bool
RelayEntryFlow::HasUnrestrictedHost(const std::string& aService,
                                    Instant aNow) const
{
  const auto router = m_shared.m_routers.find(aService);
  return router != m_shared.m_routers.end() &&
         router->second.HasUnrestrictedHost(aNow);
}

/* A report stays until the server itself has answered without a restriction, so
   that it outlives a restart of the host's gate. */
void
RelayEntryFlow::RecordServer(const HostName& aHost, const RelayReport& aReport)
{
  auto& reports = m_shared.m_serverReports;
  if (aReport.m_server) {
    if (reports.size() >= kMaxServerReports && !reports.contains(aHost)) {
      std::erase_if(reports, [&](const auto& aKnown) {
        return m_shared.m_directory.Find(aKnown.first) == nullptr;
      });
    }
    reports.insert_or_assign(aHost, *aReport.m_server);
  } else if (aReport.m_hasReachedServer &&
             aReport.m_outcome != Outcome::Unknown) {
    reports.erase(aHost);
  }
}

void
RelayEntryFlow::ReportAttempt(Call& aCall,
                              const AttemptResult& aResult,
                              Instant aNow)
{
  const auto router = m_shared.m_routers.find(aCall.m_service);
  if (router != m_shared.m_routers.end()) {
    router->second.Report(aCall.m_target->m_host, aResult, aNow);
  }
  aCall.m_target.reset();
}

void
RelayEntryFlow::FinishUnanswered(Call& aCall,
                                 Instant aNow,
                                 RelayActions& aActions)
{
  if (aCall.m_hasErrorAnswer) {
    aActions.emplace_back(RelayAnswer{ aCall.m_id });
  } else {
    const bool isLate = aCall.m_lastReason == Reason::DeadlineTooShort ||
                        aCall.m_deadline <= aNow;
    const unsigned mayHaveRun = isLate ? kStatusTimeout : kStatusBadGateway;
    Refuse(aCall,
           aCall.m_runs > 0 ? mayHaveRun : kStatusUnavailable,
           aCall.m_lastReason,
           aCall.m_lastReason == Reason::Overloaded ? kGateLimit : "",
           aNow,
           aActions);
  }
  Finish(aCall);
}

/* Retry-After is set only if the status says that the request was not run. */
void
RelayEntryFlow::Refuse(const Call& aCall,
                       unsigned aStatus,
                       Reason aReason,
                       std::string_view aLimit,
                       Instant aNow,
                       RelayActions& aActions)
{
  RefuseRequest refusal;
  refusal.m_call = aCall.m_id;
  refusal.m_status = aStatus;
  refusal.m_reason = aReason;
  refusal.m_limit = aLimit;
  if (aStatus == kStatusUnavailable) {
    refusal.m_retryAfter =
      std::max(RetryAfter(aCall, aNow),
               m_shared.m_suspects.RefusedFor(aCall.m_content, aNow));
  }
  if (const RouteAdmission* admission = FindAdmission(aCall)) {
    refusal.m_share = admission->Share();
    refusal.m_bound = admission->Bound();
  }
  if (!aCall.m_triedHosts.empty()) {
    refusal.m_host = aCall.m_triedHosts.back();
  }
  aActions.emplace_back(std::move(refusal));
}

Duration
RelayEntryFlow::RetryAfter(const Call& aCall, Instant aNow)
{
  const Duration objective =
    aCall.m_route != nullptr ? aCall.m_route->m_objective : Seconds(1);
  const Duration wanted = Scale(
    objective, kRetryAfterMin + kRetryAfterSpread * m_random.NextDouble());
  return std::min(wanted,
                  Scale(std::max(Duration::zero(), aCall.m_deadline - aNow),
                        kRetryAfterMaxRemaining));
}

}
