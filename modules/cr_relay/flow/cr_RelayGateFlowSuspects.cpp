#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "cr_relay/flow/cr_RelayGateFlow.h"

/* The part of the gate that handles requests which may crash the server. */
namespace cr {

namespace {

/* A suspect may wait for its turn for half of its remaining time. */
constexpr int kSuspectWaitDivisor = 2;
/* Max number of nodes that hear of a crash at once; the others hear of it when
   nodes exchange suspects. */
constexpr std::size_t kMaxInformedNodes = 64;
/* Max number of requests that the log line of a crash names. */
constexpr std::size_t kMaxLoggedRequests = 4;

/* Returns the keys as a JSON list. */
std::string
ToJsonList(std::span<const RequestKey> aKeys)
{
  std::string text;
  for (const RequestKey& key :
       aKeys.first(std::min(aKeys.size(), kMaxLoggedRequests))) {
    text += fmt::format("{}\"{}\"", text.empty() ? "" : ",", ToText(key));
  }
  return "[" + text + "]";
}

}

void
RelayGateFlow::Enqueue(CallId aCall, Instant aNow, RelayActions& aActions)
{
  const std::optional<Suspect>& suspect = m_calls.at(aCall).m_header.m_suspect;
  if (suspect) {
    m_shared.m_suspects.Merge({ &*suspect, 1 }, aNow);
  }
  if (PassSuspectCheck(aCall, aNow, aActions)) {
    Offer(aCall, aNow, aActions);
  }
}

void
RelayGateFlow::Offer(CallId aCall, Instant aNow, RelayActions& aActions)
{
  const Call& call = m_calls.at(aCall);
  const Instant arrived = call.m_deadline - call.m_header.m_remaining;
  GateDecisions decisions;
  m_queue.Offer({ aCall,
                  call.m_header.m_isChildCall,
                  std::max(aNow, arrived + call.m_header.m_maxWait),
                  call.m_header.m_priority },
                aNow,
                decisions);
  ApplyDecisions(decisions, aNow, aActions);
}

/* Returns whether the request may go on to the server. If not, it has been
   refused or waits in the suspect queue. */
bool
RelayGateFlow::PassSuspectCheck(CallId aCall,
                                Instant aNow,
                                RelayActions& aActions)
{
  Call& call = m_calls.at(aCall);
  const std::optional<RequestKey> key = call.m_header.m_content;
  if (!key) {
    return true;
  }
  if (m_shared.m_suspects.IsRefused(*key, aNow)) {
    Answer(aCall, NotRunReport(Reason::Suspect), aNow, aActions);
    return false;
  }
  if (call.m_isSuspect || !m_shared.m_suspects.IsSuspected(*key, aNow)) {
    return true;
  }
  switch (m_suspectQueue.Add(aCall, *key)) {
    case SuspectQueue::Placement::RunsNow:
      call.m_isSuspect = true;
      return true;
    case SuspectQueue::Placement::Queued:
      call.m_isSuspect = true;
      call.m_suspectUntil =
        aNow + (call.m_deadline - aNow) / kSuspectWaitDivisor;
      return false;
    case SuspectQueue::Placement::Full:
      break;
  }
  Answer(aCall, NotRunReport(Reason::Overloaded), aNow, aActions);
  return false;
}

void
RelayGateFlow::RunNextSuspect(Instant aNow, RelayActions& aActions)
{
  while (const auto next = std::exchange(m_nextSuspect, std::nullopt)) {
    if (PassSuspectCheck(*next, aNow, aActions)) {
      Offer(*next, aNow, aActions);
    }
  }
}

void
RelayGateFlow::RefuseLateSuspects(Instant aNow, RelayActions& aActions)
{
  for (const CallId call : m_suspectQueue.Waiting()) {
    if (m_calls.at(call).m_suspectUntil <= aNow) {
      Answer(call, NotRunReport(Reason::Overloaded), aNow, aActions);
    }
  }
}

/* For a gate that closes. */
void
RelayGateFlow::RefuseWaitingSuspects(Instant aNow, RelayActions& aActions)
{
  for (const CallId call : m_suspectQueue.Waiting()) {
    Answer(call, NotRunReport(ClosedReason()), aNow, aActions);
  }
}

std::optional<Instant>
RelayGateFlow::NextSuspectTime() const
{
  if (m_nextSuspect) {
    return Instant();
  }
  std::optional<Instant> due;
  for (const CallId call : m_suspectQueue.Waiting()) {
    due =
      std::min(due.value_or(Instant::max()), m_calls.at(call).m_suspectUntil);
  }
  return due;
}

//==============================================================================
void
RelayGateFlow::OnConnectionBroken(const DispatchEnded& aEvent,
                                  Instant aNow,
                                  RelayActions& aActions)
{
  m_consecutiveUnreachable = 0;
  if (!m_crashDetector.HasBroken()) {
    m_brokenServer = m_calls.at(aEvent.m_call).m_server;
  }
  m_crashDetector.Break(aEvent.m_call, aNow);
  RequestHealthCheck(aNow, aActions);
  GateDecisions decisions;
  m_queue.Finish(aEvent.m_call, aNow, decisions);
  ApplyDecisions(decisions, aNow, aActions);
}

/* For a request whose connection did not break. */
void
RelayGateFlow::OnEnded(const DispatchEnded& aEvent,
                       Instant aNow,
                       RelayActions& aActions)
{
  const Call& call = m_calls.at(aEvent.m_call);
  switch (aEvent.m_result) {
    case DispatchResult::Answered:
    case DispatchResult::AnsweredError:
      m_crashDetector.Answer(aEvent.m_call);
      OnSurvived(call, aNow, aActions);
      return;
    case DispatchResult::RefusedNotRun:
      m_crashDetector.Answer(aEvent.m_call);
      return;
    case DispatchResult::WrongServer:
    case DispatchResult::Unreachable:
      m_crashDetector.End(aEvent.m_call);
      if (!call.m_isCallerDisconnected) {
        m_crashDetector.OnUnreachable();
      }
      return;
    case DispatchResult::CallerLeft:
    case DispatchResult::TimedOut:
    case DispatchResult::Broken:
      m_crashDetector.End(aEvent.m_call);
      return;
  }
}

/* The server has run the request to its end. */
void
RelayGateFlow::OnSurvived(const Call& aCall,
                          Instant aNow,
                          RelayActions& aActions)
{
  if (!aCall.m_header.m_content) {
    return;
  }
  const RequestKey key = *aCall.m_header.m_content;
  const bool wasRefused = m_shared.m_suspects.IsRefused(key, aNow);
  if (m_shared.m_suspects.Clear(key, aNow)) {
    aActions.emplace_back(LogDecision{
      "suspect-cleared",
      std::nullopt,
      fmt::format(
        "\"content\":\"{}\",\"refused\":{}", ToText(key), wasRefused) });
  }
  // Other gates can't clear a request that they refuse.
  if (wasRefused) {
    ReportToService({ &key, 1 }, aNow, aActions);
  }
}

void
RelayGateFlow::DecideCrash(Instant aNow, RelayActions& aActions)
{
  const CrashDetector::Verdict verdict = m_crashDetector.Decide(aNow);
  if (verdict == CrashDetector::Verdict::Undecided) {
    return;
  }
  const auto broken = m_crashDetector.TakeBroken();
  const bool isCurrent = MayBeSame(m_brokenServer, m_announcements.Start());
  // A server that leaves may end with requests in it.
  const bool hasCrashed =
    verdict == CrashDetector::Verdict::Crashed &&
    !(isCurrent && Server().m_state == ServerState::Leaving);
  if (hasCrashed) {
    RecordCrash(broken, aNow, aActions);
  }
  for (const CrashDetector::Run& run : broken) {
    if (m_calls.at(run.m_call).m_isCallerDisconnected) {
      Erase(run.m_call);
    } else {
      Answer(run.m_call, ReportOf(DispatchResult::Broken), aNow, aActions);
    }
  }
  if (hasCrashed && isCurrent) {
    m_nextHealthCheck = aNow;
    OnServerChange(m_announcements.MarkUnreachable(), "crash", aNow, aActions);
  }
}

void
RelayGateFlow::RecordCrash(std::span<const CrashDetector::Run> aBroken,
                           Instant aNow,
                           RelayActions& aActions)
{
  const std::vector<RequestKey> blamed = SelectBlamed(aBroken, aNow);
  m_shared.m_suspects.RecordCrash(blamed, aNow);
  std::vector<RequestKey> refused;
  std::copy_if(blamed.begin(),
               blamed.end(),
               std::back_inserter(refused),
               [&](const RequestKey& aKey) {
                 return m_shared.m_suspects.IsRefused(aKey, aNow);
               });
  aActions.emplace_back(
    LogDecision{ "server-crash",
                 std::nullopt,
                 fmt::format("\"server\":\"{}\",\"runs\":{},\"blamed\":{},"
                             "\"refused\":{},\"contents\":{}",
                             m_brokenServer.m_id,
                             aBroken.size(),
                             blamed.size(),
                             refused.size(),
                             ToJsonList(refused.empty() ? blamed : refused)) });
  ReportToService(blamed, aNow, aActions);
}

/* Returns the requests that may have crashed the server: the suspects if there
   are any, else those that are not known to run without a crash. If servers
   crash although a request is already refused, there is more than one cause,
   and a suspect may have run beside it by chance; then all of them may have. */
std::vector<RequestKey>
RelayGateFlow::SelectBlamed(std::span<const CrashDetector::Run> aBroken,
                            Instant aNow) const
{
  std::set<RequestKey> suspected;
  std::set<RequestKey> unknown;
  for (const CrashDetector::Run& run : aBroken) {
    if (m_shared.m_suspects.IsSuspected(run.m_key, aNow)) {
      suspected.insert(run.m_key);
    } else if (run.m_key != RequestKey() &&
               !m_shared.m_suspects.IsCleared(run.m_key, aNow)) {
      unknown.insert(run.m_key);
    }
  }
  if (suspected.empty() || m_shared.m_suspects.HasRefused(aNow)) {
    suspected.merge(unknown);
  }
  return { suspected.begin(), suspected.end() };
}

/* Reports what is known of the requests to the nodes of the service, which
   would run them next. */
void
RelayGateFlow::ReportToService(std::span<const RequestKey> aRequests,
                               Instant aNow,
                               RelayActions& aActions) const
{
  ReportSuspects report;
  for (const RequestKey& request : aRequests) {
    if (const auto suspect = m_shared.m_suspects.Find(request, aNow)) {
      report.m_suspects.push_back(*suspect);
    }
  }
  for (const NodeRow& row :
       m_shared.m_directory.OfService(m_shared.m_settings.m_service)) {
    if (row.m_host != m_shared.m_settings.m_host &&
        report.m_peers.size() < kMaxInformedNodes) {
      report.m_peers.push_back(row.m_peer);
    }
  }
  if (!report.m_suspects.empty() && !report.m_peers.empty()) {
    aActions.emplace_back(std::move(report));
  }
}

/* Forgets a request that was answered or has no caller any more. */
void
RelayGateFlow::Erase(CallId aCall)
{
  const auto call = m_calls.find(aCall);
  if (call->second.m_isSuspect) {
    if (m_nextSuspect == aCall) {
      m_nextSuspect.reset();
    }
    if (const auto next = m_suspectQueue.Remove(aCall)) {
      m_nextSuspect = next;
    }
  }
  m_calls.erase(call);
}

}
