#include "cr_node/flow/cr_EntryFlow.h"

#include <algorithm>
#include <array>
#include <utility>

#include "cr_admission/cr_admission.h"

namespace cr {

namespace {

constexpr std::size_t kMaxAttempts = 4;
constexpr std::size_t kMaxJoinedCalls = 8;
constexpr std::size_t kMaxRememberedRequests = 16384;
/* Attempt budget when the policy does not limit the total of attempts. */
constexpr std::uint32_t kUnlimitedAttempts = 1'000'000'000;
constexpr unsigned kServerErrorStatus = 500;

bool
IsRetryableOnAnotherHost(Reason aReason)
{
  switch (aReason) {
    case Reason::Overloaded:
    case Reason::Evicted:
    case Reason::NoServer:
    case Reason::Leaving:
    case Reason::Withdrawn:
    case Reason::ConnectionLost:
    case Reason::ServerFailed:
      return true;
    default:
      return false;
  }
}

void
Refuse(const CustomerCall& aCall,
       Reason aReason,
       FlowOutput& aOutput,
       bool aIsKeyed = false)
{
  CallReport report;
  // A call with this key may have run before, so its outcome is unknown.
  const bool mayHaveRun =
    aIsKeyed || (aCall.m_key && aReason == Reason::Suspect);
  report.m_outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  report.m_reason = aReason;
  aOutput.m_actions.emplace_back(
    AnswerCall{ aCall.m_call, aCall.m_request, report, nullptr });
}

}

EntryFlow::EntryFlow(NodeShared& aShared, std::size_t aShard)
  : m_shared(aShared)
  , m_shard(aShard)
  , m_remainingAttempts(kMaxRememberedRequests)
{
}

void
EntryFlow::Start(const CustomerCall& aCall, Moment aMoment, FlowOutput& aOutput)
{
  m_now = aMoment.m_now;
  if (IsRefusedSuspect(aCall.m_request, aCall.m_operation, aMoment.m_now)) {
    Refuse(aCall, Reason::Suspect, aOutput);
    return;
  }
  const ConfigurationPointer configuration = m_shared.m_configuration.Current();
  const OperationDescription* operation =
    configuration->Find(aCall.m_operation);
  if (operation == nullptr) {
    Refuse(aCall, Reason::UnknownService, aOutput);
    return;
  }
  if (!operation->m_idempotent && !aCall.m_key) {
    Refuse(aCall, Reason::KeyMissing, aOutput);
    return;
  }
  if (Join(aCall, aOutput)) {
    return;
  }
  if (IsRefusedEarly(aCall, operation->m_importance, aMoment.m_now)) {
    Refuse(aCall, Reason::Overloaded, aOutput, !operation->m_idempotent);
    return;
  }
  const Duration callerTimeout =
    std::min(aCall.m_callerTimeout.value_or(operation->m_callerTimeout),
             operation->m_callerTimeout);
  Call call;
  call.m_id = aCall.m_call;
  call.m_header.m_request = aCall.m_request;
  call.m_header.m_operation = aCall.m_operation;
  call.m_header.m_importance = operation->m_importance;
  call.m_idempotent = operation->m_idempotent;
  SetKey(call, aCall.m_key);
  call.m_payload = aCall.m_payload;
  call.m_deadline = aMoment.m_now + callerTimeout;
  call.m_attemptBudget =
    AttemptBudget(m_shared.m_policy.m_requestAttemptBudget
                    ? m_remainingAttempts.Remaining(
                        aCall.m_request,
                        configuration->AttemptBudget(aCall.m_operation),
                        aMoment.m_now)
                    : kUnlimitedAttempts);
  m_requests.emplace(aCall.m_request, aCall.m_call);
  StartNextAttempt(m_calls.emplace(aCall.m_call, std::move(call)).first->second,
                   aMoment,
                   aOutput);
}

void
EntryFlow::Start(const ChildCall& aCall,
                 const ChildInheritance& aInheritance,
                 Moment aMoment,
                 FlowOutput& aOutput)
{
  const ConfigurationPointer configuration = m_shared.m_configuration.Current();
  const OperationDescription* operation =
    configuration->Find(aCall.m_operation);
  Call call;
  call.m_id = aCall.m_call;
  call.m_header = aInheritance.m_parent;
  call.m_header.m_operation = aCall.m_operation;
  call.m_header.m_depth = aInheritance.m_parent.m_depth + 1;
  call.m_payload = aCall.m_payload;
  call.m_parent = aCall.m_parent;
  call.m_attemptBudget = AttemptBudget(aInheritance.m_attemptBudget);
  call.m_deadline = aInheritance.m_deadline;
  if (aCall.m_callerTimeout) {
    call.m_deadline =
      std::min(call.m_deadline, aMoment.m_now + *aCall.m_callerTimeout);
  }
  Call& stored = m_calls.emplace(aCall.m_call, std::move(call)).first->second;
  if (operation == nullptr) {
    EndUnanswered(stored, Reason::UnknownService, aOutput);
    return;
  }
  if (!operation->m_idempotent && !aCall.m_key) {
    EndUnanswered(stored, Reason::KeyMissing, aOutput);
    return;
  }
  stored.m_idempotent = operation->m_idempotent;
  SetKey(stored, aCall.m_key);
  stored.m_deadline =
    std::min(stored.m_deadline, aMoment.m_now + operation->m_callerTimeout);
  StartNextAttempt(stored, aMoment, aOutput);
}

void
EntryFlow::Handle(const CallerDisconnected& aEvent,
                  Moment aMoment,
                  FlowOutput& aOutput)
{
  m_now = aMoment.m_now;
  const auto call = m_calls.find(aEvent.m_call);
  if (call == m_calls.end() || !call->second.m_joinedCalls.empty()) {
    return;
  }
  if (call->second.m_attempt && m_shared.m_policy.m_cancellation) {
    aOutput.m_actions.emplace_back(
      CancelAttempt{ call->second.m_attempt->m_id });
  }
  EndUnanswered(call->second, Reason::CallerGone, aOutput);
}

void
EntryFlow::Handle(const AttemptAnswered& aEvent,
                  Moment aMoment,
                  FlowOutput& aOutput)
{
  Call* call = FindByAttempt(aEvent.m_attempt);
  if (call == nullptr) {
    return;
  }
  m_now = aMoment.m_now;
  const CallReport& report = aEvent.m_report;
  m_shared.m_levels.WithLock([&](LevelTable& aTable) {
    aTable.Update(call->m_header.m_operation, report.m_level, m_now);
  });
  RecordSuspicion(*call, report, aMoment.m_now);
  AttemptResult result;
  result.m_answered = report.m_outcome == Outcome::Completed &&
                      report.m_status < kServerErrorStatus;
  result.m_refused = report.m_outcome == Outcome::NotRun;
  result.m_latency = aMoment.m_now - call->m_attempt->m_started;
  result.m_level = report.m_level;
  ReportAttempt(*call, result, aMoment.m_now);
  call->m_attemptBudget.Release(report.m_unusedAttempts);
  const bool isError = report.m_status >= kServerErrorStatus;
  if (report.m_outcome == Outcome::Completed && !isError) {
    m_shared.m_retryQuota.WithLock([&](RetryQuota& aQuota) {
      aQuota.CountSuccess(call->m_header.m_operation.m_service);
    });
  }
  const bool naive = !m_shared.m_policy.m_requestAttemptBudget;
  if (report.m_outcome == Outcome::Completed && naive && isError &&
      call->m_idempotent && call->m_attemptedHosts.size() < kMaxAttempts) {
    call->m_lastReason = Reason::ServerFailed;
    RetryOrEnd(*call, aMoment, aOutput);
    return;
  }
  if (report.m_outcome == Outcome::Completed) {
    End(*call, report, aEvent.m_payload, aOutput);
    return;
  }
  call->m_lastReason = report.m_reason;
  call->m_ownerConfirmedNotRun = report.m_outcome == Outcome::NotRun &&
                                 report.m_reason != Reason::NotOwner &&
                                 report.m_reason != Reason::Withdrawn;
  call->m_mayHaveRun |= report.m_outcome == Outcome::Unknown;
  RetryOrEnd(*call, aMoment, aOutput);
}

void
EntryFlow::Handle(const AttemptFailed& aEvent,
                  Moment aMoment,
                  FlowOutput& aOutput)
{
  Call* call = FindByAttempt(aEvent.m_attempt);
  if (call == nullptr) {
    return;
  }
  m_now = aMoment.m_now;
  call->m_lastReason = Reason::ConnectionLost;
  if (aEvent.m_sent) {
    aOutput.m_actions.emplace_back(
      RequestWithdrawal{ aEvent.m_attempt,
                         call->m_attempt->m_target.m_peer,
                         call->m_attempt->m_target.m_incarnation });
    return;
  }
  ReportAttempt(*call, {}, aMoment.m_now);
  RetryOrEnd(*call, aMoment, aOutput);
}

void
EntryFlow::Handle(const WithdrawalAnswered& aEvent,
                  Moment aMoment,
                  FlowOutput& aOutput)
{
  Call* call = FindByAttempt(aEvent.m_attempt);
  if (call == nullptr) {
    return;
  }
  m_now = aMoment.m_now;
  AttemptResult result;
  result.m_connectionLost = aEvent.m_result != WithdrawalResult::Unknown;
  ReportAttempt(*call, result, aMoment.m_now);
  call->m_mayHaveRun |= aEvent.m_result != WithdrawalResult::NotRun;
  RetryOrEnd(*call, aMoment, aOutput);
}

void
EntryFlow::SetKey(Call& aCall, const std::optional<IdempotencyKey>& aKey)
{
  aCall.m_isKeyed = !aCall.m_idempotent;
  aCall.m_header.m_key = aCall.m_isKeyed ? aKey : std::nullopt;
}

void
EntryFlow::StartNextAttempt(Call& aCall, Moment aMoment, FlowOutput& aOutput)
{
  if (IsRefusedSuspect(
        aCall.m_header.m_request, aCall.m_header.m_operation, aMoment.m_now)) {
    EndUnanswered(aCall, Reason::Suspect, aOutput);
    return;
  }
  if (aCall.m_deadline <= aMoment.m_now) {
    EndUnanswered(aCall, Reason::DeadlineTooShort, aOutput);
    return;
  }
  const std::uint32_t attemptBudget = aCall.m_attemptBudget.Allocate(
    m_shared.m_configuration.Current()->FirstAttempts(
      aCall.m_header.m_operation));
  if (attemptBudget == 0) {
    EndUnanswered(aCall, Reason::AttemptsSpent, aOutput);
    return;
  }
  const auto target = Choose(aCall, aMoment.m_now);
  if (!target) {
    aCall.m_attemptBudget.Release(attemptBudget);
    if (aCall.m_isKeyed && WaitForOwners(aCall)) {
      return;
    }
    EndUnanswered(aCall, aCall.m_lastReason, aOutput);
    return;
  }
  SendAttempt(aCall, *target, attemptBudget, aMoment.m_now, aOutput);
}

void
EntryFlow::SendAttempt(Call& aCall,
                       const RouteTarget& aTarget,
                       std::uint32_t aAttemptBudget,
                       Instant aNow,
                       FlowOutput& aOutput)
{
  const AttemptId attempt = NextAttemptId();
  aCall.m_attemptedHosts.push_back(aTarget.m_host);
  const std::uint32_t crashes =
    m_shared.m_suspects.WithLock([&](const SuspectTable& aTable) {
      return aTable.Crashes(
        MakeRequestKey(aCall.m_header.m_request, aCall.m_header.m_operation));
    });
  aCall.m_attempt = Attempt{ attempt, aTarget, aNow, crashes };
  m_attempts.emplace(attempt, aCall.m_id);
  CallHeader header = aCall.m_header;
  header.m_remaining = aCall.m_deadline - aNow;
  header.m_attemptBudget = aAttemptBudget;
  header.m_crashes = crashes;
  header.m_generation = m_shared.m_configuration.Current()->m_generation;
  aOutput.m_actions.emplace_back(ForwardCall{ attempt,
                                              aTarget.m_host,
                                              aTarget.m_incarnation,
                                              aTarget.m_peer,
                                              std::move(header),
                                              aCall.m_payload });
}

std::optional<RouteTarget>
EntryFlow::Choose(const Call& aCall, Instant aNow)
{
  if (aCall.m_isKeyed) {
    return ChooseOwner(aCall);
  }
  const Rank rank =
    RankOf(aCall.m_header.m_importance, CohortOf(aCall.m_header.m_request));
  const auto excluded = m_shared.m_policy.m_requestAttemptBudget
                          ? std::span<const HostName>(aCall.m_attemptedHosts)
                          : std::span<const HostName>();
  return m_shared.m_routers.Choose(aCall.m_header.m_operation.m_service,
                                   rank,
                                   excluded,
                                   aNow,
                                   aCall.m_idempotent);
}

std::optional<RouteTarget>
EntryFlow::ChooseOwner(const Call& aCall)
{
  const std::string& service = aCall.m_header.m_operation.m_service;
  const auto owner = m_shared.m_owners.Find(service, *aCall.m_header.m_key);
  if (!owner) {
    m_shared.m_owners.RequestRefresh(service);
    return std::nullopt;
  }
  return RouteTarget{
    owner->m_host, owner->m_incarnation, {}, {}, owner->m_peer
  };
}

bool
EntryFlow::MayRetry(const Call& aCall)
{
  if (aCall.m_attemptedHosts.size() >= kMaxAttempts) {
    return false;
  }
  if (!aCall.m_isKeyed) {
    return (aCall.m_idempotent || !aCall.m_mayHaveRun) &&
           IsRetryableOnAnotherHost(aCall.m_lastReason) && ConsumeRetry(aCall);
  }
  const std::string& service = aCall.m_header.m_operation.m_service;
  if (aCall.m_lastReason == Reason::ConnectionLost) {
    m_shared.m_owners.RequestRefresh(service);
    // Safe to retry: the owner answers a resend from its ledger and does not
    // run it again.
    return true;
  }
  const auto owner = m_shared.m_owners.Find(service, *aCall.m_header.m_key);
  return aCall.m_lastReason == Reason::NotOwner && owner &&
         owner->m_host != aCall.m_attemptedHosts.back();
}

void
EntryFlow::RetryOrEnd(Call& aCall, Moment aMoment, FlowOutput& aOutput)
{
  m_attempts.erase(aCall.m_attempt->m_id);
  aCall.m_attempt.reset();
  if (MayRetry(aCall)) {
    StartNextAttempt(aCall, aMoment, aOutput);
    return;
  }
  if (aCall.m_lastReason == Reason::NotOwner && WaitForOwners(aCall)) {
    return;
  }
  EndUnanswered(aCall, aCall.m_lastReason, aOutput);
}

bool
EntryFlow::WaitForOwners(Call& aCall)
{
  const std::string& service = aCall.m_header.m_operation.m_service;
  if (!std::exchange(aCall.m_hasWaitedForOwners, true)) {
    m_shared.m_owners.RequestRefresh(service);
  } else if (m_shared.m_owners.MapOf(service)) {
    return false;
  }
  m_waitingForOwners.push_back(aCall.m_id);
  return true;
}

void
EntryFlow::Resume(const std::string& aService,
                  Moment aMoment,
                  FlowOutput& aOutput)
{
  for (const CallId id : std::exchange(m_waitingForOwners, {})) {
    const auto call = m_calls.find(id);
    if (call == m_calls.end()) {
      continue;
    }
    if (call->second.m_header.m_operation.m_service != aService) {
      m_waitingForOwners.push_back(id);
      continue;
    }
    StartNextAttempt(call->second, aMoment, aOutput);
  }
}

void
EntryFlow::Advance(Moment aMoment, FlowOutput& aOutput)
{
  for (const CallId id : std::exchange(m_waitingForOwners, {})) {
    const auto call = m_calls.find(id);
    if (call == m_calls.end()) {
      continue;
    }
    if (call->second.m_deadline <= aMoment.m_now) {
      EndUnanswered(call->second, call->second.m_lastReason, aOutput);
      continue;
    }
    m_waitingForOwners.push_back(id);
  }
}

bool
EntryFlow::ConsumeRetry(const Call& aCall)
{
  const bool hostIsClosed = aCall.m_lastReason == Reason::Leaving ||
                            aCall.m_lastReason == Reason::NoServer;
  if (hostIsClosed || !m_shared.m_policy.m_retryQuota) {
    return true;
  }
  return m_shared.m_retryQuota.WithLock([&](RetryQuota& aQuota) {
    return aQuota.TryConsumeRetry(aCall.m_header.m_operation.m_service);
  });
}

bool
EntryFlow::Join(const CustomerCall& aCall, FlowOutput& aOutput)
{
  const auto request = m_requests.find(aCall.m_request);
  if (request == m_requests.end() ||
      !m_shared.m_policy.m_requestAttemptBudget) {
    return false;
  }
  Call& existing = m_calls.at(request->second);
  const bool isSame =
    existing.m_header.m_operation == aCall.m_operation &&
    (!existing.m_isKeyed || existing.m_header.m_key == aCall.m_key);
  if (!isSame || existing.m_joinedCalls.size() >= kMaxJoinedCalls) {
    Refuse(
      aCall, isSame ? Reason::Overloaded : Reason::Malformed, aOutput, isSame);
  } else {
    existing.m_joinedCalls.push_back(aCall.m_call);
  }
  return true;
}

bool
EntryFlow::IsRefusedEarly(const CustomerCall& aCall,
                          Importance aImportance,
                          Instant aNow) const
{
  const Rank rank = RankOf(aImportance, CohortOf(aCall.m_request));
  return m_shared.m_policy.m_levelFeedback &&
         m_shared.m_levels.WithLock([&](LevelTable& aTable) {
           return aTable.ShouldRefuse(aCall.m_operation, rank, aNow);
         });
}

void
EntryFlow::EndUnanswered(Call& aCall, Reason aReason, FlowOutput& aOutput)
{
  CallReport report;
  const bool mayHaveRun = aCall.m_mayHaveRun || aCall.m_attempt ||
                          (aCall.m_isKeyed && !aCall.m_ownerConfirmedNotRun);
  report.m_outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  report.m_reason = aReason;
  End(aCall, report, nullptr, aOutput);
}

void
EntryFlow::End(Call& aCall,
               const CallReport& aReport,
               PayloadPointer aPayload,
               FlowOutput& aOutput)
{
  if (aCall.m_attempt) {
    m_attempts.erase(aCall.m_attempt->m_id);
  }
  if (!aCall.m_parent) {
    m_remainingAttempts.Record(
      aCall.m_header.m_request, aCall.m_attemptBudget.Available(), m_now);
    m_requests.erase(aCall.m_header.m_request);
  }
  if (aCall.m_parent) {
    aOutput.m_endedChildren.push_back(
      { *aCall.m_parent, aCall.m_attemptBudget.Available() });
  }
  CallReport report = aReport;
  report.m_unusedAttempts = aCall.m_attemptBudget.Available();
  for (const CallId joined : aCall.m_joinedCalls) {
    aOutput.m_actions.emplace_back(
      AnswerCall{ joined, aCall.m_header.m_request, report, aPayload });
  }
  aOutput.m_actions.emplace_back(AnswerCall{
    aCall.m_id, aCall.m_header.m_request, report, std::move(aPayload) });
  m_calls.erase(aCall.m_id);
}

void
EntryFlow::ReportAttempt(const Call& aCall,
                         const AttemptResult& aResult,
                         Instant aNow)
{
  if (aCall.m_isKeyed) {
    return;
  }
  m_shared.m_routers.Report(aCall.m_header.m_operation.m_service,
                            aCall.m_attempt->m_target.m_host,
                            aResult,
                            aNow);
}

bool
EntryFlow::IsRefusedSuspect(const RequestId& aRequest,
                            const OperationName& aOperation,
                            Instant aNow) const
{
  return m_shared.m_policy.m_suspects &&
         m_shared.m_suspects.WithLock([&](const SuspectTable& aTable) {
           return aTable.IsRefused(MakeRequestKey(aRequest, aOperation), aNow);
         });
}

/* Updates the suspects at once: the gate's answer arrives before its gossip,
   and a resend may follow immediately. */
void
EntryFlow::RecordSuspicion(const Call& aCall,
                           const CallReport& aReport,
                           Instant aNow)
{
  const RequestKey key =
    MakeRequestKey(aCall.m_header.m_request, aCall.m_header.m_operation);
  const std::uint32_t crashes = aCall.m_attempt->m_crashesBefore + 1;
  if (aReport.m_reason == Reason::ServerFailed) {
    m_shared.m_suspects.WithLock([&](SuspectTable& aTable) {
      aTable.Merge(
        std::array{ Suspect{ key, crashes, SuspectTable::kSuspicionTime } },
        aNow);
    });
  } else if (aReport.m_outcome == Outcome::Completed && crashes > 1) {
    m_shared.m_suspects.WithLock(
      [&](SuspectTable& aTable) { aTable.Clear(key, aNow); });
  }
}

EntryFlow::Call*
EntryFlow::FindByAttempt(const AttemptId& aAttempt)
{
  const auto attempt = m_attempts.find(aAttempt);
  return attempt == m_attempts.end() ? nullptr : &m_calls.at(attempt->second);
}

AttemptId
EntryFlow::NextAttemptId()
{
  const std::uint64_t sender =
    Hash(m_shared.m_identity.m_host,
         static_cast<std::uint64_t>(m_shared.m_identity.m_incarnation));
  return { sender, ++m_sequence * kShardCount + m_shard };
}

}
