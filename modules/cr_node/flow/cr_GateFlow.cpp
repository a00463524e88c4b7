#include "cr_node/flow/cr_GateFlow.h"

#include <algorithm>
#include <array>
#include <span>
#include <utility>

namespace cr {

namespace {

constexpr Duration kServerExpiry = Seconds(3);
constexpr std::size_t kMaxRememberedAttempts = 262144;
constexpr std::size_t kMaxRememberedSequences = 65536;
/* Time after the deadline in which the caller can still resolve an attempt. */
constexpr Duration kResolveTime = Seconds(10);
/* Maximum caller timeout in a service file. */
constexpr Duration kMaxCallerTimeout = Seconds(600);

/* Time within which all calls of a crashed server are reported as failed. */
constexpr Duration kCrashReportWindow = Milliseconds(500);

RequestKey
RequestKeyOf(const CallHeader& aHeader)
{
  return MakeRequestKey(aHeader.m_request, aHeader.m_operation);
}

/* Returns whether the operation calls the service, directly or indirectly. The
   recursion ends because published call graphs have no cycles. */
bool
CallsService(const Configuration& aConfiguration,
             const OperationName& aOperation,
             const std::string& aService)
{
  const OperationDescription* operation = aConfiguration.Find(aOperation);
  return operation != nullptr &&
         std::any_of(operation->m_calls.begin(),
                     operation->m_calls.end(),
                     [&](const CalledOperation& aCalled) {
                       return aCalled.m_name.m_service == aService ||
                              CallsService(
                                aConfiguration, aCalled.m_name, aService);
                     });
}

}

GateFlow::GateFlow(NodeShared& aShared)
  : m_shared(aShared)
  , m_random(Hash("gate", aShared.m_identity.m_seed))
  , m_gate(aShared.m_policy)
  , m_attemptHistory(kMaxRememberedAttempts, kMaxRememberedSequences)
{
}

void
GateFlow::Handle(const PeerCall& aEvent, Moment aMoment, FlowOutput& aOutput)
{
  m_now = aMoment.m_now;
  m_attemptHistory.Advance(aMoment.m_now);
  if (RefuseDuplicateAttempt(aEvent, aOutput)) {
    return;
  }
  Call call;
  call.m_attempt = aEvent.m_attempt;
  call.m_header = aEvent.m_header;
  call.m_payload = aEvent.m_payload;
  call.m_deadline = aMoment.m_now + aEvent.m_header.m_remaining;
  call.m_attemptBudget = AttemptBudget(aEvent.m_header.m_attemptBudget > 0
                                         ? aEvent.m_header.m_attemptBudget - 1
                                         : 0);
  m_calls.emplace(aEvent.m_call, std::move(call));
  if (IsKeyed(aEvent.m_header) && !AdmitKeyed(aEvent, aMoment, aOutput)) {
    return;
  }
  if (m_server.m_service != aEvent.m_header.m_operation.m_service ||
      m_server.m_state != ServerState::Ready) {
    Refuse(aEvent.m_call,
           m_server.m_state == ServerState::Leaving ? Reason::Leaving
                                                    : Reason::NoServer,
           aOutput);
    return;
  }
  m_attempts.emplace(aEvent.m_attempt, aEvent.m_call);
  EnqueueCall(aEvent.m_call, aMoment, aOutput);
}

void
GateFlow::Handle(const CallerDisconnected& aEvent,
                 Moment aMoment,
                 FlowOutput& aOutput)
{
  const auto call = m_calls.find(aEvent.m_call);
  if (call == m_calls.end()) {
    return;
  }
  if (call->second.m_keyed && ContinueWithoutCaller(aEvent.m_call)) {
    return;
  }
  if (!m_shared.m_policy.m_cancellation) {
    return;
  }
  call->second.m_isCallerDisconnected = true;
  if (call->second.m_isDispatched) {
    aOutput.m_actions.emplace_back(CancelDispatch{ aEvent.m_call });
    return;
  }
  Withdraw(aEvent.m_call);
  Refuse(aEvent.m_call, Reason::CallerGone, aOutput);
  GateDecisions decisions;
  m_gate.Advance(aMoment.m_now, decisions);
  ApplyDecisions(decisions, aMoment, aOutput);
  RunNextSuspect(aMoment, aOutput);
}

void
GateFlow::Handle(const WithdrawalRequested& aEvent,
                 Moment aMoment,
                 FlowOutput& aOutput)
{
  AnswerWithdrawal answer{ aEvent.m_call, WithdrawalResult::Unknown };
  const auto attempt = m_attempts.find(aEvent.m_attempt);
  if (aEvent.m_incarnation != m_shared.m_identity.m_incarnation) {
    answer.m_result = WithdrawalResult::Unknown;
  } else if (attempt != m_attempts.end()) {
    const CallId id = attempt->second;
    if (Withdraw(id)) {
      Refuse(id, Reason::Withdrawn, aOutput);
      answer.m_result = WithdrawalResult::NotRun;
    } else {
      answer.m_result = WithdrawalResult::Ran;
    }
  } else {
    answer.m_result = ResolveAbsentAttempt(aEvent.m_attempt, aMoment.m_now);
  }
  aOutput.m_actions.emplace_back(answer);
  RunNextSuspect(aMoment, aOutput);
}

void
GateFlow::Handle(const ServerAnnounced& aEvent,
                 Moment aMoment,
                 FlowOutput& aOutput)
{
  m_server.m_service = aEvent.m_service;
  m_server.m_endpoint = aEvent.m_endpoint;
  m_server.m_slots = aEvent.m_slots;
  m_server.m_instance = aEvent.m_instance;
  m_server.m_lastAnnounced = aMoment.m_now;
  if (m_isShuttingDown || aEvent.m_leaving) {
    CloseServer(ServerState::Leaving, Reason::Leaving, aOutput);
    return;
  }
  m_server.m_state = ServerState::Ready;
  GateDecisions decisions;
  m_gate.Open(aEvent.m_slots, aMoment.m_now, decisions);
  ApplyDecisions(decisions, aMoment, aOutput);
}

void
GateFlow::Handle(const ServerAnswered& aEvent,
                 Moment aMoment,
                 FlowOutput& aOutput)
{
  const auto call = m_calls.find(aEvent.m_call);
  if (call == m_calls.end()) {
    return;
  }
  CallReport report;
  report.m_outcome = Outcome::Completed;
  report.m_status = aEvent.m_status;
  report.m_unusedAttempts = call->second.m_attemptBudget.Available();
  m_shared.m_suspects.WithLock(
    [&, key = RequestKeyOf(call->second.m_header)](SuspectTable& aTable) {
      aTable.Clear(key, aMoment.m_now);
    });
  FinishCall(aEvent.m_call, report, aEvent.m_payload, aMoment, aOutput);
  RunNextSuspect(aMoment, aOutput);
}

void
GateFlow::Handle(const ServerFailed& aEvent,
                 Moment aMoment,
                 FlowOutput& aOutput)
{
  const auto call = m_calls.find(aEvent.m_call);
  if (call == m_calls.end()) {
    return;
  }
  CallReport report;
  report.m_outcome = aEvent.m_sent ? Outcome::Unknown : Outcome::NotRun;
  report.m_reason = aEvent.m_sent ? Reason::ConnectionLost : Reason::NoServer;
  if (aEvent.m_sent && !aEvent.m_timedOut &&
      !call->second.m_isCallerDisconnected &&
      AttributeCrash(call->second, aMoment)) {
    report.m_reason = Reason::ServerFailed;
  }
  report.m_unusedAttempts = call->second.m_attemptBudget.Available();
  FinishCall(aEvent.m_call, report, nullptr, aMoment, aOutput);
  if (aEvent.m_refused) {
    CloseServer(ServerState::Absent, Reason::NoServer, aOutput);
  }
  RunNextSuspect(aMoment, aOutput);
}

void
GateFlow::Handle(const ShutdownRequested& /*aEvent*/,
                 Moment /*aMoment*/,
                 FlowOutput& aOutput)
{
  m_isShuttingDown = true;
  CloseServer(ServerState::Leaving, Reason::Leaving, aOutput);
}

void
GateFlow::Advance(Moment aMoment, FlowOutput& aOutput)
{
  if (m_server.m_state == ServerState::Ready &&
      aMoment.m_now - m_server.m_lastAnnounced >= kServerExpiry) {
    CloseServer(ServerState::Absent, Reason::NoServer, aOutput);
  }
  m_keyLedger.Advance(aMoment.m_now);
  GateDecisions decisions;
  m_gate.Advance(aMoment.m_now, decisions);
  ApplyDecisions(decisions, aMoment, aOutput);
  RunNextSuspect(aMoment, aOutput);
}

std::optional<ChildInheritance>
GateFlow::OpenChild(const GateToken& aParent,
                    const OperationName& aChild,
                    Moment aMoment)
{
  const auto token = m_tokens.find(aParent);
  if (token == m_tokens.end()) {
    return std::nullopt;
  }
  Call& parent = m_calls.at(token->second);
  if (parent.m_isCallerDisconnected) {
    return std::nullopt;
  }
  if (parent.m_openChildren++ == 0) {
    parent.m_childWaitStart = aMoment.m_now;
  }
  const std::uint32_t wanted =
    m_shared.m_configuration.Current()->FirstAttempts(aChild);
  return ChildInheritance{ parent.m_header,
                           parent.m_deadline,
                           parent.m_attemptBudget.Allocate(wanted) };
}

void
GateFlow::CloseChild(const ChildEnded& aEnded, Moment aMoment)
{
  const auto token = m_tokens.find(aEnded.m_parent);
  if (token == m_tokens.end()) {
    return;
  }
  Call& parent = m_calls.at(token->second);
  parent.m_attemptBudget.Release(aEnded.m_unusedAttempts);
  if (parent.m_openChildren > 0 && --parent.m_openChildren == 0) {
    parent.m_childWaitTime += aMoment.m_now - parent.m_childWaitStart;
  }
}

std::optional<Instant>
GateFlow::NextWakeup() const
{
  auto due = m_gate.NextWakeup();
  if (m_server.m_state == ServerState::Ready) {
    const Instant expiry = m_server.m_lastAnnounced + kServerExpiry;
    due = due ? std::min(*due, expiry) : expiry;
  }
  return due;
}

void
GateFlow::ApplyDecisions(const GateDecisions& aDecisions,
                         Moment aMoment,
                         FlowOutput& aOutput)
{
  for (const GateDecision& decision : aDecisions) {
    if (const auto* dispatch = std::get_if<GateDispatch>(&decision)) {
      Dispatch(dispatch->m_call, aMoment, aOutput);
    } else if (const auto* refusal = std::get_if<GateRefusal>(&decision)) {
      Refuse(refusal->m_call, refusal->m_reason, aOutput);
    }
  }
}

void
GateFlow::Dispatch(CallId aCall, Moment aMoment, FlowOutput& aOutput)
{
  Call& call = m_calls.at(aCall);
  call.m_isDispatched = true;
  call.m_token = NextToken();
  m_tokens.emplace(call.m_token, aCall);
  CallHeader header = call.m_header;
  header.m_remaining = call.m_deadline - aMoment.m_now;
  aOutput.m_actions.emplace_back(DispatchCall{ aCall,
                                               m_server.m_endpoint,
                                               call.m_token,
                                               std::move(header),
                                               std::move(call.m_payload) });
}

void
GateFlow::Answer(CallId aId,
                 const CallReport& aReport,
                 PayloadPointer aPayload,
                 FlowOutput& aOutput)
{
  const Call& call = m_calls.at(aId);
  if (call.m_keyed && !call.m_isAttached) {
    EndKeyed(aId, aReport, aPayload, aOutput);
  }
  CallReport report = aReport;
  report.m_level = LevelOf(call.m_header.m_operation);
  report.m_generation = m_shared.m_configuration.Current()->m_generation;
  aOutput.m_actions.emplace_back(
    AnswerCall{ aId, call.m_header.m_request, report, std::move(aPayload) });
  RemoveCall(aId);
}

void
GateFlow::Refuse(CallId aCall, Reason aReason, FlowOutput& aOutput)
{
  CallReport report;
  report.m_outcome = Outcome::NotRun;
  report.m_reason = aReason;
  report.m_unusedAttempts = m_calls.at(aCall).m_attemptBudget.Available();
  Answer(aCall, report, nullptr, aOutput);
}

void
GateFlow::OfferToGate(CallId aCall, Moment aMoment, FlowOutput& aOutput)
{
  const Call& call = m_calls.at(aCall);
  GateDecisions decisions;
  m_gate.Offer({ aCall,
                 call.m_header.m_request,
                 call.m_header.m_operation,
                 call.m_header.m_importance,
                 call.m_header.m_depth,
                 NeedsOwnService(call.m_header.m_operation),
                 call.m_deadline },
               aMoment.m_now,
               decisions);
  ApplyDecisions(decisions, aMoment, aOutput);
}

/* Offers a call that is not suspect to the gate directly; suspects pass through
   the suspect queue. */
void
GateFlow::EnqueueCall(CallId aCall, Moment aMoment, FlowOutput& aOutput)
{
  Call& call = m_calls.at(aCall);
  const RequestKey key = RequestKeyOf(call.m_header);
  bool isRefused = false;
  if (m_shared.m_policy.m_suspects) {
    m_shared.m_suspects.WithLock([&](SuspectTable& aTable) {
      if (call.m_header.m_crashes > aTable.Crashes(key)) {
        aTable.Merge(std::array{ Suspect{ key,
                                          call.m_header.m_crashes,
                                          SuspectTable::kSuspicionTime } },
                     aMoment.m_now);
      }
      isRefused = aTable.IsRefused(key, aMoment.m_now);
      call.m_isSuspect = aTable.IsSuspected(key, aMoment.m_now);
    });
  }
  if (isRefused) {
    call.m_isSuspect = false;
    Refuse(aCall, Reason::Suspect, aOutput);
    return;
  }
  const auto placement = call.m_isSuspect ? m_suspectQueue.Add(aCall, key)
                                          : SuspectQueue::Placement::RunsNow;
  if (placement == SuspectQueue::Placement::RunsNow) {
    OfferToGate(aCall, aMoment, aOutput);
  } else if (placement == SuspectQueue::Placement::Full) {
    Refuse(aCall, Reason::Overloaded, aOutput);
  }
  RunNextSuspect(aMoment, aOutput);
}

void
GateFlow::RunNextSuspect(Moment aMoment, FlowOutput& aOutput)
{
  while (const auto next = std::exchange(m_nextSuspect, std::nullopt)) {
    const RequestKey key = RequestKeyOf(m_calls.at(*next).m_header);
    const bool isRefused =
      m_shared.m_suspects.WithLock([&](const SuspectTable& aTable) {
        return aTable.IsRefused(key, aMoment.m_now);
      });
    if (isRefused) {
      Refuse(*next, Reason::Suspect, aOutput);
    } else {
      OfferToGate(*next, aMoment, aOutput);
    }
  }
}

bool
GateFlow::Withdraw(CallId aCall)
{
  return m_suspectQueue.IsWaiting(aCall) || m_gate.Withdraw(aCall);
}

/* Returns whether the server's crash is attributed to the call. If a suspect
   was running, only the suspect is blamed. */
bool
GateFlow::AttributeCrash(const Call& aCall, Moment aMoment)
{
  if (!aCall.m_isSuspect &&
      (aMoment.m_now < m_suspectBlamedUntil || IsSuspectRunning())) {
    return false;
  }
  if (aCall.m_isSuspect) {
    m_suspectBlamedUntil = aMoment.m_now + kCrashReportWindow;
  }
  m_shared.m_suspects.WithLock(
    [&, key = RequestKeyOf(aCall.m_header)](SuspectTable& aTable) {
      aTable.RecordCrash(std::span(&key, 1), aMoment.m_now);
    });
  return true;
}

bool
GateFlow::IsSuspectRunning() const
{
  const std::vector<CallId> running = m_suspectQueue.Running();
  return std::any_of(running.begin(), running.end(), [&](CallId aCall) {
    return m_calls.at(aCall).m_isDispatched;
  });
}

void
GateFlow::CloseServer(ServerState aState, Reason aReason, FlowOutput& aOutput)
{
  m_server.m_state = aState;
  for (const CallId call : m_suspectQueue.RemoveWaiting()) {
    Refuse(call, aReason, aOutput);
  }
  GateDecisions decisions;
  m_gate.Close(aReason, decisions);
  ApplyDecisions(decisions, {}, aOutput);
}

void
GateFlow::FinishCall(CallId aCall,
                     const CallReport& aReport,
                     PayloadPointer aPayload,
                     Moment aMoment,
                     FlowOutput& aOutput)
{
  m_now = aMoment.m_now;
  const GateFinish finish{ aCall,
                           aReport.m_outcome == Outcome::Completed,
                           m_calls.at(aCall).m_childWaitTime };
  Answer(aCall, aReport, std::move(aPayload), aOutput);
  GateDecisions decisions;
  m_gate.Finish(finish, aMoment.m_now, decisions);
  ApplyDecisions(decisions, aMoment, aOutput);
}

AdmissionLevel
GateFlow::LevelOf(const OperationName& aOperation) const
{
  AdmissionLevel level = m_gate.Level();
  const ConfigurationPointer configuration = m_shared.m_configuration.Current();
  const OperationDescription* operation = configuration->Find(aOperation);
  if (operation == nullptr || operation->m_calls.empty()) {
    return level;
  }
  m_shared.m_levels.WithLock([&](const LevelTable& aTable) {
    for (const CalledOperation& called : operation->m_calls) {
      level = std::max(level, aTable.Level(called.m_name, m_now));
    }
  });
  return level;
}

bool
GateFlow::NeedsOwnService(const OperationName& aOperation)
{
  const ConfigurationPointer configuration = m_shared.m_configuration.Current();
  if (m_needsGeneration != configuration->m_generation) {
    m_needsOwnService.clear();
    m_needsGeneration = configuration->m_generation;
  }
  if (configuration->Find(aOperation) == nullptr) {
    return false;
  }
  const auto known = m_needsOwnService.find(aOperation.m_operation);
  if (known != m_needsOwnService.end()) {
    return known->second;
  }
  const bool needs =
    CallsService(*configuration, aOperation, aOperation.m_service);
  m_needsOwnService.emplace(aOperation.m_operation, needs);
  return needs;
}

void
GateFlow::RemoveCall(CallId aCall)
{
  const auto call = m_calls.find(aCall);
  if (call->second.m_isSuspect) {
    if (const auto next = m_suspectQueue.Remove(aCall)) {
      m_nextSuspect = next;
    }
  }
  m_attemptHistory.Record(call->second.m_attempt,
                          call->second.m_isDispatched ? AttemptState::Dispatched
                                                      : AttemptState::Withdrawn,
                          call->second.m_deadline + kResolveTime);
  m_attempts.erase(call->second.m_attempt);
  m_tokens.erase(call->second.m_token);
  m_calls.erase(call);
}

bool
GateFlow::RefuseDuplicateAttempt(const PeerCall& aEvent, FlowOutput& aOutput)
{
  const AttemptState state = m_attemptHistory.Find(aEvent.m_attempt);
  const bool isHere = m_attempts.contains(aEvent.m_attempt);
  if (state == AttemptState::NeverArrived && !isHere) {
    return false;
  }
  CallReport report;
  report.m_outcome = state == AttemptState::Withdrawn && !isHere
                       ? Outcome::NotRun
                       : Outcome::Unknown;
  report.m_reason = Reason::Withdrawn;
  report.m_level = m_gate.Level();
  report.m_generation = m_shared.m_configuration.Current()->m_generation;
  aOutput.m_actions.emplace_back(
    AnswerCall{ aEvent.m_call, aEvent.m_header.m_request, report, nullptr });
  return true;
}

WithdrawalResult
GateFlow::ResolveAbsentAttempt(const AttemptId& aAttempt, Instant aNow)
{
  switch (m_attemptHistory.Find(aAttempt)) {
    case AttemptState::Dispatched:
      return WithdrawalResult::Ran;
    case AttemptState::Forgotten:
      return WithdrawalResult::Unknown;
    case AttemptState::Withdrawn:
      return WithdrawalResult::NotRun;
    case AttemptState::NeverArrived:
      break;
  }
  m_attemptHistory.Record(
    aAttempt, AttemptState::Withdrawn, aNow + kMaxCallerTimeout + kResolveTime);
  return WithdrawalResult::NotRun;
}

GateToken
GateFlow::NextToken()
{
  const std::uint64_t high = m_random.Next();
  return { high, m_random.Next() };
}

}
