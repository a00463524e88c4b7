#include "cr_node/flow/cr_GateFlow.h"

#include <algorithm>
#include <array>
#include <span>
#include <utility>

namespace cr {

namespace {

constexpr Duration kServerLapse = Seconds(3);
constexpr std::size_t kAttemptLimit = 262144;
constexpr std::size_t kLaneLimit = 65536;
/* Time that a sender has, after its deadline, to settle an attempt. */
constexpr Duration kSettleTime = Seconds(10);
/* Longest patience that a service file may state. */
constexpr Duration kGreatestPatience = Seconds(600);

/* Time within which the calls of a server that died are seen to fail. */
constexpr Duration kDeathSpread = Milliseconds(500);

RequestId
KeyOf(const CallHeader& aHeader)
{
  return SuspectKey(aHeader.m_request, aHeader.m_operation);
}

/* Whether calls below the operation lead to the service. Published call graphs
   have no cycles. */
bool
Reaches(const Configuration& aConfiguration,
        const OperationName& aOperation,
        const std::string& aService)
{
  const OperationDescription* operation = aConfiguration.Find(aOperation);
  return operation != nullptr &&
         std::any_of(operation->m_calls.begin(),
                     operation->m_calls.end(),
                     [&](const CalledOperation& aCalled) {
                       return aCalled.m_name.m_service == aService ||
                              Reaches(aConfiguration, aCalled.m_name, aService);
                     });
}

}

GateFlow::GateFlow(NodeShared& aShared)
  : m_shared(aShared)
  , m_random(Hash("gate", aShared.m_identity.m_seed))
  , m_gate(aShared.m_policy)
  , m_memory(kAttemptLimit, kLaneLimit)
{
}

void
GateFlow::Handle(const PeerCall& aEvent, Moment aMoment, FlowOutput& aOutput)
{
  m_now = aMoment.m_now;
  m_memory.Advance(aMoment.m_now);
  if (RefuseKnown(aEvent, aOutput)) {
    return;
  }
  Call call;
  call.m_attempt = aEvent.m_attempt;
  call.m_header = aEvent.m_header;
  call.m_payload = aEvent.m_payload;
  call.m_deadline = aMoment.m_now + aEvent.m_header.m_remaining;
  call.m_ledger = AttemptBudget(
    aEvent.m_header.m_grant > 0 ? aEvent.m_header.m_grant - 1 : 0);
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
  EnterLane(aEvent.m_call, aMoment, aOutput);
}

void
GateFlow::Handle(const CallerGone& aEvent, Moment aMoment, FlowOutput& aOutput)
{
  const auto call = m_calls.find(aEvent.m_call);
  if (call == m_calls.end()) {
    return;
  }
  if (call->second.m_keyed && LeaveRunning(aEvent.m_call)) {
    return;
  }
  if (!m_shared.m_policy.m_cancellation) {
    return;
  }
  call->second.m_callerGone = true;
  if (call->second.m_handedOver) {
    aOutput.m_actions.emplace_back(CancelHandOver{ aEvent.m_call });
    return;
  }
  Withdraw(aEvent.m_call);
  Refuse(aEvent.m_call, Reason::CallerGone, aOutput);
  GateDecisions decisions;
  m_gate.Advance(aMoment.m_now, decisions);
  Carry(decisions, aMoment, aOutput);
  AdvanceLane(aMoment, aOutput);
}

void
GateFlow::Handle(const WithdrawAsked& aEvent,
                 Moment aMoment,
                 FlowOutput& aOutput)
{
  AnswerWithdraw answer{ aEvent.m_call, WithdrawResult::Unknown };
  const auto attempt = m_attempts.find(aEvent.m_attempt);
  if (aEvent.m_incarnation != m_shared.m_identity.m_incarnation) {
    answer.m_result = WithdrawResult::Unknown;
  } else if (attempt != m_attempts.end()) {
    const CallId id = attempt->second;
    if (Withdraw(id)) {
      Refuse(id, Reason::Withdrawn, aOutput);
      answer.m_result = WithdrawResult::NotRun;
    } else {
      answer.m_result = WithdrawResult::Ran;
    }
  } else {
    answer.m_result = SettleAbsent(aEvent.m_attempt, aMoment.m_now);
  }
  aOutput.m_actions.emplace_back(answer);
  AdvanceLane(aMoment, aOutput);
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
  m_server.m_renewed = aMoment.m_now;
  if (m_shuttingDown || aEvent.m_leaving) {
    CloseServer(ServerState::Leaving, Reason::Leaving, aOutput);
    return;
  }
  m_server.m_state = ServerState::Ready;
  GateDecisions decisions;
  m_gate.Open(aEvent.m_slots, aMoment.m_now, decisions);
  Carry(decisions, aMoment, aOutput);
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
  report.m_unspent = call->second.m_ledger.Available();
  m_shared.m_suspects.With(
    [&, key = KeyOf(call->second.m_header)](SuspectTable& aTable) {
      aTable.Clear(key, aMoment.m_now);
    });
  FinishCall(aEvent.m_call, report, aEvent.m_payload, aMoment, aOutput);
  AdvanceLane(aMoment, aOutput);
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
  if (aEvent.m_sent && !aEvent.m_timedOut && !call->second.m_callerGone &&
      Blame(call->second, aMoment)) {
    report.m_reason = Reason::ServerFailed;
  }
  report.m_unspent = call->second.m_ledger.Available();
  FinishCall(aEvent.m_call, report, nullptr, aMoment, aOutput);
  if (aEvent.m_refused) {
    CloseServer(ServerState::Absent, Reason::NoServer, aOutput);
  }
  AdvanceLane(aMoment, aOutput);
}

void
GateFlow::Handle(const ShutdownAsked& /*aEvent*/,
                 Moment /*aMoment*/,
                 FlowOutput& aOutput)
{
  m_shuttingDown = true;
  CloseServer(ServerState::Leaving, Reason::Leaving, aOutput);
}

void
GateFlow::Advance(Moment aMoment, FlowOutput& aOutput)
{
  if (m_server.m_state == ServerState::Ready &&
      aMoment.m_now - m_server.m_renewed >= kServerLapse) {
    CloseServer(ServerState::Absent, Reason::NoServer, aOutput);
  }
  m_ledger.Advance(aMoment.m_now);
  GateDecisions decisions;
  m_gate.Advance(aMoment.m_now, decisions);
  Carry(decisions, aMoment, aOutput);
  AdvanceLane(aMoment, aOutput);
}

std::optional<ChildInheritance>
GateFlow::Inherit(const GateToken& aParent,
                  const OperationName& aChild,
                  Moment aMoment)
{
  const auto token = m_tokens.find(aParent);
  if (token == m_tokens.end()) {
    return std::nullopt;
  }
  Call& parent = m_calls.at(token->second);
  if (parent.m_callerGone) {
    return std::nullopt;
  }
  if (parent.m_openChildren++ == 0) {
    parent.m_childSince = aMoment.m_now;
  }
  const std::uint32_t wanted =
    m_shared.m_configuration.Current()->FirstTries(aChild);
  return ChildInheritance{ parent.m_header,
                           parent.m_deadline,
                           parent.m_ledger.Allocate(wanted) };
}

void
GateFlow::TakeBack(const ChildEnded& aEnded, Moment aMoment)
{
  const auto token = m_tokens.find(aEnded.m_parent);
  if (token == m_tokens.end()) {
    return;
  }
  Call& parent = m_calls.at(token->second);
  parent.m_ledger.Release(aEnded.m_unspent);
  if (parent.m_openChildren > 0 && --parent.m_openChildren == 0) {
    parent.m_childTime += aMoment.m_now - parent.m_childSince;
  }
}

std::optional<Instant>
GateFlow::NextDue() const
{
  auto due = m_gate.NextWakeup();
  if (m_server.m_state == ServerState::Ready) {
    const Instant lapse = m_server.m_renewed + kServerLapse;
    due = due ? std::min(*due, lapse) : lapse;
  }
  return due;
}

void
GateFlow::Carry(const GateDecisions& aDecisions,
                Moment aMoment,
                FlowOutput& aOutput)
{
  for (const GateDecision& decision : aDecisions) {
    if (const auto* handOver = std::get_if<GateDispatch>(&decision)) {
      HandOverCall(handOver->m_call, aMoment, aOutput);
    } else if (const auto* refusal = std::get_if<GateRefusal>(&decision)) {
      Refuse(refusal->m_call, refusal->m_reason, aOutput);
    }
  }
}

void
GateFlow::HandOverCall(CallId aCall, Moment aMoment, FlowOutput& aOutput)
{
  Call& call = m_calls.at(aCall);
  call.m_handedOver = true;
  call.m_token = NextToken();
  m_tokens.emplace(call.m_token, aCall);
  CallHeader header = call.m_header;
  header.m_remaining = call.m_deadline - aMoment.m_now;
  aOutput.m_actions.emplace_back(HandOver{ aCall,
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
  Forget(aId);
}

void
GateFlow::Refuse(CallId aCall, Reason aReason, FlowOutput& aOutput)
{
  CallReport report;
  report.m_outcome = Outcome::NotRun;
  report.m_reason = aReason;
  report.m_unspent = m_calls.at(aCall).m_ledger.Available();
  Answer(aCall, report, nullptr, aOutput);
}

void
GateFlow::Offer(CallId aCall, Moment aMoment, FlowOutput& aOutput)
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
  Carry(decisions, aMoment, aOutput);
}

/* A call that no server died of goes straight to the gate. */
void
GateFlow::EnterLane(CallId aCall, Moment aMoment, FlowOutput& aOutput)
{
  Call& call = m_calls.at(aCall);
  const RequestId key = KeyOf(call.m_header);
  bool isRefused = false;
  if (m_shared.m_policy.m_suspects) {
    m_shared.m_suspects.With([&](SuspectTable& aTable) {
      if (call.m_header.m_deaths > aTable.Crashes(key)) {
        aTable.Merge(std::array{ Suspect{ key,
                                          call.m_header.m_deaths,
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
  const auto entrance = call.m_isSuspect ? m_lane.Add(aCall, key)
                                         : SuspectQueue::Placement::RunsNow;
  if (entrance == SuspectQueue::Placement::RunsNow) {
    Offer(aCall, aMoment, aOutput);
  } else if (entrance == SuspectQueue::Placement::Full) {
    Refuse(aCall, Reason::Overloaded, aOutput);
  }
  AdvanceLane(aMoment, aOutput);
}

void
GateFlow::AdvanceLane(Moment aMoment, FlowOutput& aOutput)
{
  while (const auto next = std::exchange(m_nextSuspect, std::nullopt)) {
    const RequestId key = KeyOf(m_calls.at(*next).m_header);
    const bool isRefused =
      m_shared.m_suspects.With([&](const SuspectTable& aTable) {
        return aTable.IsRefused(key, aMoment.m_now);
      });
    if (isRefused) {
      Refuse(*next, Reason::Suspect, aOutput);
    } else {
      Offer(*next, aMoment, aOutput);
    }
  }
}

bool
GateFlow::Withdraw(CallId aCall)
{
  return m_lane.IsWaiting(aCall) || m_gate.Withdraw(aCall);
}

/* Returns whether the server's death is put down to the call. When a suspect
   ran, it alone is blamed. */
bool
GateFlow::Blame(const Call& aCall, Moment aMoment)
{
  if (!aCall.m_isSuspect &&
      (aMoment.m_now < m_blamedUntil || RunsBesideSuspect())) {
    return false;
  }
  if (aCall.m_isSuspect) {
    m_blamedUntil = aMoment.m_now + kDeathSpread;
  }
  m_shared.m_suspects.With(
    [&, key = KeyOf(aCall.m_header)](SuspectTable& aTable) {
      aTable.RecordCrash(std::span(&key, 1), aMoment.m_now);
    });
  return true;
}

bool
GateFlow::RunsBesideSuspect() const
{
  const std::vector<CallId> running = m_lane.Running();
  return std::any_of(running.begin(), running.end(), [&](CallId aCall) {
    return m_calls.at(aCall).m_handedOver;
  });
}

void
GateFlow::CloseServer(ServerState aState, Reason aReason, FlowOutput& aOutput)
{
  m_server.m_state = aState;
  for (const CallId call : m_lane.RemoveWaiting()) {
    Refuse(call, aReason, aOutput);
  }
  GateDecisions decisions;
  m_gate.Close(aReason, decisions);
  Carry(decisions, {}, aOutput);
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
                           m_calls.at(aCall).m_childTime };
  Answer(aCall, aReport, std::move(aPayload), aOutput);
  GateDecisions decisions;
  m_gate.Finish(finish, aMoment.m_now, decisions);
  Carry(decisions, aMoment, aOutput);
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
  m_shared.m_levels.With([&](const LevelTable& aTable) {
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
  const bool needs = Reaches(*configuration, aOperation, aOperation.m_service);
  m_needsOwnService.emplace(aOperation.m_operation, needs);
  return needs;
}

void
GateFlow::Forget(CallId aCall)
{
  const auto call = m_calls.find(aCall);
  if (call->second.m_isSuspect) {
    if (const auto next = m_lane.Remove(aCall)) {
      m_nextSuspect = next;
    }
  }
  m_memory.Record(call->second.m_attempt,
                  call->second.m_handedOver ? AttemptState::Dispatched
                                            : AttemptState::Withdrawn,
                  call->second.m_deadline + kSettleTime);
  m_attempts.erase(call->second.m_attempt);
  m_tokens.erase(call->second.m_token);
  m_calls.erase(call);
}

bool
GateFlow::RefuseKnown(const PeerCall& aEvent, FlowOutput& aOutput)
{
  const AttemptState fate = m_memory.Find(aEvent.m_attempt);
  const bool isHere = m_attempts.contains(aEvent.m_attempt);
  if (fate == AttemptState::NeverArrived && !isHere) {
    return false;
  }
  CallReport report;
  report.m_outcome = fate == AttemptState::Withdrawn && !isHere
                       ? Outcome::NotRun
                       : Outcome::Unknown;
  report.m_reason = Reason::Withdrawn;
  report.m_level = m_gate.Level();
  report.m_generation = m_shared.m_configuration.Current()->m_generation;
  aOutput.m_actions.emplace_back(
    AnswerCall{ aEvent.m_call, aEvent.m_header.m_request, report, nullptr });
  return true;
}

WithdrawResult
GateFlow::SettleAbsent(const AttemptId& aAttempt, Instant aNow)
{
  switch (m_memory.Find(aAttempt)) {
    case AttemptState::Dispatched:
      return WithdrawResult::Ran;
    case AttemptState::Forgotten:
      return WithdrawResult::Unknown;
    case AttemptState::Withdrawn:
      return WithdrawResult::NotRun;
    case AttemptState::NeverArrived:
      break;
  }
  m_memory.Record(
    aAttempt, AttemptState::Withdrawn, aNow + kGreatestPatience + kSettleTime);
  return WithdrawResult::NotRun;
}

GateToken
GateFlow::NextToken()
{
  const std::uint64_t high = m_random.Next();
  return { high, m_random.Next() };
}

}
