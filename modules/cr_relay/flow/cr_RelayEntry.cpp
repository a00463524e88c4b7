#include "cr_relay/flow/cr_RelayEntry.h"

#include <algorithm>

#include <fmt/format.h>

namespace cr {

namespace {

/* Times that one request is sent on at most, to hosts that did not take it
   too. */
constexpr std::size_t kGreatestSends = 6;
/* Routes whose admission is kept. */
constexpr std::size_t kAdmissionLimit = 8192;
/* Part of its objective that a customer's request may wait for a slot: what is
   refused until then has lost nothing that a second try could not make up. */
constexpr int kNewcomerWaitDivisor = 8;
/* Part of its time left that a call below a running request may wait. */
constexpr int kBegunWaitDivisor = 2;
/* From this load on a gate's callers share its work over the whole region. */
constexpr double kBusyLoad = 0.95;
/* A host that could not be connected to is tried again after this time, while
   there are others. */
constexpr Duration kUnreachedPause = Seconds(1);
/* Above this load on its way a request that failed is not run again. */
constexpr double kRepeatLoad = 1.0;
/* A refused customer comes back after this part of the objective at least, and
   at most that much more of it; and never after more than a third of its time,
   as it may not wait longer. */
constexpr double kRetryAfterLeast = 0.15;
constexpr double kRetryAfterSpread = 0.35;
constexpr double kRetryAfterPatience = 0.33;

constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusBadGateway = 502;
constexpr unsigned kStatusUnavailable = 503;
constexpr unsigned kStatusTimeout = 504;

/* The host is not the one that the picture shows; nobody looked at the
   request. */
bool
IsElsewhere(const RelayReport& aReport)
{
  return aReport.m_outcome == Outcome::NotRun && !aReport.m_hasReached &&
         (aReport.m_reason == Reason::Leaving ||
          aReport.m_reason == Reason::NoServer);
}

AttemptResult
ToResult(const RelayReport& aReport, Duration aLatency)
{
  AttemptResult result;
  result.m_answered =
    aReport.m_outcome == Outcome::Completed && !aReport.m_isServerError;
  result.m_refused = aReport.m_outcome == Outcome::NotRun &&
                     aReport.m_reason == Reason::Overloaded;
  result.m_latency = aLatency;
  result.m_level = aReport.m_gateLoad > kBusyLoad ? 1 : 0;
  return result;
}

}

RelayEntry::RelayEntry(RelayShared& aShared)
  : m_shared(aShared)
  , m_random(Hash(aShared.m_settings.m_seed, 1))
  , m_rotation(Hash(aShared.m_settings.m_seed, 2))
  , m_budget({ aShared.m_settings.m_retryRatio,
               aShared.m_settings.m_retrySlack,
               aShared.m_settings.m_retryWindow })
{
}

void
RelayEntry::Handle(const RequestArrived& aEvent,
                   Instant aNow,
                   RelayActions& aActions)
{
  Call call;
  call.m_id = aEvent.m_call;
  call.m_table = m_shared.m_routes.Current();
  call.m_route = call.m_table->Find(aEvent.m_hostName, aEvent.m_target);
  call.m_arrived = aNow;
  call.m_deadline = aNow + aEvent.m_patience.value_or(Seconds(1));
  if (m_shared.m_routes.ActiveGeneration() == 0) {
    Refuse(call, kStatusUnavailable, Reason::StoreUnavailable, aNow, aActions);
    return;
  }
  if (call.m_route == nullptr) {
    Refuse(call, kStatusNotFound, Reason::UnknownService, aNow, aActions);
    return;
  }
  const Duration patience =
    std::min(aEvent.m_patience.value_or(call.m_route->m_timeout),
             call.m_route->m_timeout);
  call.m_deadline = aNow + patience;
  call.m_service = m_rotation.Next(*call.m_route);
  call.m_isBegun = m_shared.m_calledRoutes.contains(call.m_route->m_name);
  if (call.m_isBegun) {
    m_shared.m_pattern.CountCall(call.m_route->m_name, aNow);
  } else if (m_shared.m_settings.m_isGoverned && !IsLetIn(aEvent, call, aNow)) {
    Refuse(call, kStatusUnavailable, Reason::Overloaded, aNow, aActions);
    return;
  }
  m_budget.CountRequest(call.m_service, aNow);
  Call& stored = m_calls.emplace(call.m_id, std::move(call)).first->second;
  TryNext(stored, aNow, aActions);
}

void
RelayEntry::Handle(const SenderGone& aEvent,
                   Instant aNow,
                   RelayActions& aActions)
{
  const auto found = m_calls.find(aEvent.m_call);
  if (found == m_calls.end()) {
    return;
  }
  Call& call = found->second;
  if (call.m_target) {
    AttemptResult result;
    result.m_connectionLost = true;
    ReportTarget(call, result, aNow);
    aActions.emplace_back(CancelForward{ call.m_id });
  }
  End(call);
}

void
RelayEntry::Handle(const ForwardAnswered& aEvent,
                   Instant aNow,
                   RelayActions& aActions)
{
  const auto found = m_calls.find(aEvent.m_call);
  if (found != m_calls.end() && found->second.m_target) {
    if (!m_shared.m_unreached.empty()) {
      m_shared.m_unreached.erase(found->second.m_target->m_host);
    }
    Settle(found->second, aEvent.m_report, aNow, aActions);
  }
}

void
RelayEntry::Handle(const ForwardFailed& aEvent,
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
    m_shared.m_unreached
      .try_emplace(call.m_target->m_host, Unreached{ aNow, aNow })
      .first->second.m_latest = aNow;
  }
  RelayReport report;
  report.m_outcome = aEvent.m_sent ? Outcome::Unknown : Outcome::NotRun;
  report.m_hasReached = aEvent.m_sent;
  report.m_reason = aEvent.m_timedOut ? Reason::DeadlineTooShort
                    : aEvent.m_sent   ? Reason::ConnectionLost
                                      : Reason::NoServer;
  Settle(call, report, aNow, aActions);
}

void
RelayEntry::NoteFleet()
{
  m_budget.SetNodes(m_shared.m_directory.Size());
}

//==============================================================================
bool
RelayEntry::IsLetIn(const RequestArrived& aEvent,
                    const Call& aCall,
                    Instant aNow)
{
  const std::string& name = aCall.m_route->m_name;
  if (m_admissions.size() >= kAdmissionLimit && !m_admissions.contains(name)) {
    m_admissions.clear();
  }
  return m_admissions[name].Admit(
    *aCall.m_route, aEvent.m_patience, m_random.Unit(), aNow);
}

RouteAdmission*
RelayEntry::AdmissionOf(const Call& aCall)
{
  const auto admission = aCall.m_route != nullptr
                           ? m_admissions.find(aCall.m_route->m_name)
                           : m_admissions.end();
  return admission != m_admissions.end() ? &admission->second : nullptr;
}

void
RelayEntry::End(const Call& aCall)
{
  RouteAdmission* admission = AdmissionOf(aCall);
  if (!aCall.m_isBegun && admission != nullptr) {
    admission->End();
  }
  m_calls.erase(aCall.m_id);
}

void
RelayEntry::TryNext(Call& aCall, Instant aNow, RelayActions& aActions)
{
  const auto router = m_shared.m_routers.find(aCall.m_service);
  if (aCall.m_deadline <= aNow || aCall.m_tried.size() >= kGreatestSends ||
      router == m_shared.m_routers.end()) {
    EndUnserved(aCall, aNow, aActions);
    return;
  }
  auto target = Choose(aCall, router->second, aNow);
  if (!target) {
    EndUnserved(aCall, aNow, aActions);
    return;
  }
  aCall.m_tried.push_back(target->m_host);
  aCall.m_sent = aNow;
  RelayHeader header;
  header.m_service = aCall.m_service;
  header.m_route = aCall.m_route->m_name;
  header.m_remaining = aCall.m_deadline - aNow;
  header.m_longestWait =
    aCall.m_isBegun
      ? header.m_remaining / kBegunWaitDivisor
      : std::max(Duration::zero(),
                 aCall.m_arrived +
                   aCall.m_route->m_objective / kNewcomerWaitDivisor - aNow);
  header.m_isBegun = aCall.m_isBegun;
  header.m_isIdempotent = aCall.m_route->m_idempotent;
  header.m_generation = m_shared.m_routes.ActiveGeneration();
  aActions.emplace_back(
    ForwardRequest{ aCall.m_id, target->m_peer, std::move(header) });
  aCall.m_target = std::move(target);
}

std::optional<RouteTarget>
RelayEntry::Choose(const Call& aCall, Router& aRouter, Instant aNow) const
{
  const Rank rank = RankOf(Importance::Protected, 0);
  if (!m_shared.m_settings.m_isGoverned) {
    return aRouter.Choose(rank, {}, aNow);
  }
  if (!m_shared.m_unreached.empty()) {
    std::vector<HostName> excluded = aCall.m_tried;
    for (const auto& [host, unreached] : m_shared.m_unreached) {
      if (aNow - unreached.m_latest < kUnreachedPause) {
        excluded.push_back(host);
      }
    }
    if (auto target = aRouter.Choose(rank, excluded, aNow)) {
      return target;
    }
  }
  auto target = aRouter.Choose(rank, aCall.m_tried, aNow);
  // Servers that refuse some requests only may take this one the next time.
  return !target && aCall.m_lastReason == Reason::ServerFailed
           ? aRouter.Choose(rank, {}, aNow)
           : target;
}

void
RelayEntry::Settle(Call& aCall,
                   const RelayReport& aReport,
                   Instant aNow,
                   RelayActions& aActions)
{
  LearnLoad(aCall, aReport, aNow);
  ReportTarget(aCall, ToResult(aReport, aNow - aCall.m_sent), aNow);
  aCall.m_runs += aReport.m_outcome != Outcome::NotRun ? 1 : 0;
  aCall.m_lastReason = aReport.m_reason;
  const bool isAnswered = aReport.m_outcome == Outcome::Completed;
  if (isAnswered && !aReport.m_isServerError) {
    if (aCall.m_isBegun) {
      m_shared.m_pattern.RecordCallTime(
        aCall.m_route->m_name, aNow - aCall.m_arrived, aNow);
    }
    aActions.emplace_back(RelayAnswer{ aCall.m_id });
    End(aCall);
    return;
  }
  aCall.m_hasErrorAnswer |= isAnswered;
  if (MayTryAgain(aCall, aReport, aNow)) {
    aActions.emplace_back(
      LogDecision{ "retry",
                   aCall.m_id,
                   fmt::format("\"reason\":\"{}\",\"outcome\":\"{}\","
                               "\"runs\":{},\"path_load\":{:.2f}",
                               ToText(aReport.m_reason),
                               ToText(aReport.m_outcome),
                               aCall.m_runs,
                               aReport.m_pathLoad) });
    TryNext(aCall, aNow, aActions);
    return;
  }
  EndUnserved(aCall, aNow, aActions);
}

bool
RelayEntry::MayTryAgain(const Call& aCall,
                        const RelayReport& aReport,
                        Instant aNow)
{
  if (!m_shared.m_settings.m_isGoverned || aCall.m_deadline <= aNow) {
    return false;
  }
  if (IsElsewhere(aReport)) {
    return true;
  }
  if (aReport.m_outcome == Outcome::NotRun && !aReport.m_hasReached) {
    // A full gate: only work that has begun is worth another one's queue.
    return aCall.m_isBegun && aCall.m_tried.size() < 2;
  }
  return MayRepeat(aCall, aReport, aNow);
}

/* After a backend server had the request. */
bool
RelayEntry::MayRepeat(const Call& aCall,
                      const RelayReport& aReport,
                      Instant aNow)
{
  const bool mayRunAgain = aCall.m_route->m_idempotent || aCall.m_runs == 0;
  return mayRunAgain && aReport.m_reason != Reason::DeadlineTooShort &&
         aCall.m_runs < aCall.m_route->m_attempts &&
         aReport.m_pathLoad < kRepeatLoad &&
         m_budget.TryConsumeRetry(aCall.m_service, aNow);
}

void
RelayEntry::LearnLoad(const Call& aCall,
                      const RelayReport& aReport,
                      Instant aNow)
{
  const std::string& name = aCall.m_route->m_name;
  if (!aReport.m_hasReached && aReport.m_reason != Reason::Overloaded) {
    return;
  }
  if (aReport.m_isCalledRoute) {
    m_shared.m_calledRoutes.insert(name);
  } else {
    m_shared.m_calledRoutes.erase(name);
  }
  if (aCall.m_isBegun) {
    if (aReport.m_pathLoad > 0) {
      m_shared.m_pathLoads[name].Learn(aReport.m_pathLoad, aNow);
    }
  } else if (RouteAdmission* admission = AdmissionOf(aCall)) {
    admission->Learn(
      *aCall.m_route, aReport.m_pathLoad, aNow - aCall.m_arrived, aNow);
  }
}

void
RelayEntry::ReportTarget(Call& aCall,
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
RelayEntry::EndUnserved(Call& aCall, Instant aNow, RelayActions& aActions)
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
           aNow,
           aActions);
  }
  End(aCall);
}

/* Only who was told that the request was not run is told when to return. */
void
RelayEntry::Refuse(const Call& aCall,
                   unsigned aStatus,
                   Reason aReason,
                   Instant aNow,
                   RelayActions& aActions)
{
  RefuseRequest refusal;
  refusal.m_call = aCall.m_id;
  refusal.m_status = aStatus;
  refusal.m_reason = aReason;
  if (aStatus == kStatusUnavailable) {
    refusal.m_retryAfter = RetryAfter(aCall, aNow);
  }
  if (const RouteAdmission* admission = AdmissionOf(aCall)) {
    refusal.m_share = admission->Share();
    refusal.m_bound = admission->Bound();
  }
  if (!aCall.m_tried.empty()) {
    refusal.m_host = aCall.m_tried.back();
  }
  aActions.emplace_back(std::move(refusal));
}

Duration
RelayEntry::RetryAfter(const Call& aCall, Instant aNow)
{
  const Duration objective =
    aCall.m_route != nullptr ? aCall.m_route->m_objective : Seconds(1);
  const Duration wanted =
    Scale(objective, kRetryAfterLeast + kRetryAfterSpread * m_random.Unit());
  return std::min(wanted,
                  Scale(std::max(Duration::zero(), aCall.m_deadline - aNow),
                        kRetryAfterPatience));
}

}
