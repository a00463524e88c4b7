#include "mesh_stand_in/mesh/cr_TestMesh.h"

#include <array>
#include <deque>
#include <stdexcept>

namespace cr {

namespace {

constexpr Duration kAnnounceInterval = Seconds(1);
constexpr Duration kStoreDelay = Milliseconds(2);
constexpr Duration kStoreTimeout = Seconds(2);
constexpr Duration kWithdrawTimeout = Milliseconds(500);
constexpr Duration kGossipTimeout = Milliseconds(500);
constexpr WallMilliseconds kWallStart = 1'800'000'000'000;
constexpr std::uint16_t kFirstPort = 10000;

Configuration
BuildGraph(const std::vector<ServiceFileText>& aFiles)
{
  Findings findings;
  std::vector<ServiceDescription> services;
  services.reserve(aFiles.size());
  for (const ServiceFileText& file : aFiles) {
    services.push_back(ParseServiceFile(file.m_file, file.m_text, findings));
  }
  Configuration graph = BuildConfiguration(1, services, findings);
  if (!findings.empty()) {
    throw std::invalid_argument(ToText(findings));
  }
  return graph;
}

}

/* The caller of a call that a node has not answered yet. */
struct TestMesh::Origin
{
  /* Set for a call from another node. */
  HostName m_peer;
  AttemptId m_attempt;
  Importance m_importance = Importance::Low;
  std::uint64_t m_arrival = 0;
  /* Set for a call from the host's own server. */
  std::shared_ptr<Job> m_parent;
  /* Set for a customer's call. */
  std::optional<CustomerCall> m_customer;
};

struct TestMesh::Job
{
  DispatchCall m_dispatch;
  std::uint64_t m_instance = 0;
  std::size_t m_nextCall = 0;
  std::string m_callTree;
  bool m_cancelled = false;
  /* Whether the job occupies one of the server's slots. */
  bool m_hasSlot = false;
  std::optional<CallId> m_child;
};

struct TestMesh::Host
{
  MeshHost m_config;
  Endpoint m_peer;
  std::uint64_t m_incarnation = 1;
  std::uint64_t m_serverInstance = 1;
  bool m_serverUp = true;
  bool m_leaving = false;
  std::unique_ptr<NodeDecisions> m_node;
  std::map<CallId, Origin> m_origins;
  std::map<AttemptId, HostName> m_forwarded;
  std::map<CallId, std::shared_ptr<Job>> m_jobs;
  std::map<CallId, std::function<void(WithdrawalResult)>> m_withdrawals;
  std::map<CallId, std::function<void(const GossipMessage&)>> m_gossipAnswers;
  std::map<CallId, std::function<void(const AnswerObject&)>> m_objectAnswers;
  std::map<AttemptId, CallId> m_peerCalls;
  /* Calls queued at the gate, their number by importance, and the sequence
     number of the last dispatch by importance. */
  std::map<CallId, Importance> m_queuedCalls;
  std::array<std::uint64_t, kImportanceCount> m_gateCounts{};
  std::array<std::uint64_t, kImportanceCount> m_lastDispatch{};
  std::uint32_t m_usedSlots = 0;
  std::deque<std::shared_ptr<Job>> m_backlog;
  std::vector<Event> m_pendingEvents;
  Instant m_timerAt = Instant::max();
};

TestMesh::TestMesh(std::vector<MeshHost> aHosts,
                   const std::vector<ServiceFileText>& aFiles,
                   std::uint64_t aSeed,
                   PolicySwitches aPolicy)
  : m_random(aSeed)
  , m_policy(aPolicy)
{
  std::uint16_t port = kFirstPort;
  for (MeshHost& config : aHosts) {
    auto host = std::make_unique<Host>();
    host->m_peer = { "127.0.0.1", port++ };
    host->m_config = std::move(config);
    m_hosts.emplace(host->m_config.m_host, std::move(host));
  }
  m_graph = BuildGraph(aFiles);
  PublishFiles(aFiles, "test");
  for (auto& [name, host] : m_hosts) {
    RestartNode(name);
    AnnouncePeriodically(name);
  }
  RunFor(Seconds(3));
}

TestMesh::~TestMesh() = default;

void
TestMesh::RunFor(Duration aTime)
{
  const Instant end = m_now + aTime;
  while (!m_schedule.empty() && m_schedule.top().m_at <= end) {
    auto function = m_schedule.top().m_function;
    m_now = m_schedule.top().m_at;
    m_schedule.pop();
    function();
  }
  m_now = end;
}

CustomerCall
TestMesh::MakeCall(const OperationName& aOperation)
{
  CustomerCall call;
  call.m_operation = aOperation;
  call.m_request = { m_random.Next(), m_random.Next() };
  call.m_key =
    MakeIdempotencyKey(kWallStart + ToMilliseconds(m_now.time_since_epoch()),
                       m_random.Next(),
                       m_random.Next());
  call.m_payload = std::make_shared<Payload>();
  return call;
}

void
TestMesh::Call(const HostName& aHost, const CustomerCall& aCall)
{
  Host& host = *m_hosts.at(aHost);
  CustomerCall call = aCall;
  call.m_call = MakeCallId(++m_sequence, ShardOf(call.m_request));
  host.m_origins[call.m_call].m_customer = call;
  DeliverEvent(aHost, call);
}

void
TestMesh::DisconnectCustomer(const RequestId& aRequest)
{
  for (auto& [name, host] : m_hosts) {
    for (const auto& [id, origin] : host->m_origins) {
      if (origin.m_customer && origin.m_customer->m_request == aRequest) {
        DeliverEvent(name, CallerDisconnected{ id });
        return;
      }
    }
  }
}

PublicationResult
TestMesh::PublishFiles(const std::vector<ServiceFileText>& aFiles,
                       const std::string& aOperator)
{
  PublicationRequest request;
  request.m_files = aFiles;
  request.m_operator = aOperator;
  request.m_publicationId = std::to_string(++m_publications);
  return Publish(request, [this](const StoreRequest& aRequest) -> StoreAnswer {
    if (m_faults.m_platformDown) {
      return StoreFailed{ "down" };
    }
    return m_platform.Execute(aRequest);
  });
}

void
TestMesh::RestartNode(const HostName& aHost)
{
  Host& host = *m_hosts.at(aHost);
  ++host.m_incarnation;
  host.m_origins.clear();
  host.m_forwarded.clear();
  host.m_withdrawals.clear();
  host.m_peerCalls.clear();
  host.m_gateCounts.fill(0);
  host.m_queuedCalls.clear();
  host.m_pendingEvents.clear();
  host.m_timerAt = Instant::max();
  host.m_node = std::make_unique<NodeDecisions>(
    NodeIdentity{ aHost,
                  Incarnation{ host.m_incarnation },
                  host.m_config.m_region,
                  host.m_config.m_dataCentre,
                  host.m_peer,
                  Hash(aHost, host.m_incarnation) },
    m_policy);
  DeliverEvent(aHost, TimerDue{});
}

void
TestMesh::LeaveServer(const HostName& aHost)
{
  m_hosts.at(aHost)->m_leaving = true;
  Announce(*m_hosts.at(aHost));
}

void
TestMesh::CrashServer(const HostName& aHost)
{
  Host& host = *m_hosts.at(aHost);
  host.m_serverUp = false;
  ++host.m_serverInstance;
  const auto jobs = std::exchange(host.m_jobs, {});
  host.m_backlog.clear();
  host.m_usedSlots = 0;
  for (const auto& [id, job] : jobs) {
    DeliverEvent(aHost, ServerFailed{ id, true, false });
  }
}

void
TestMesh::StartServer(const HostName& aHost)
{
  Host& host = *m_hosts.at(aHost);
  host.m_serverUp = true;
  host.m_leaving = false;
  Announce(host);
}

void
TestMesh::SetServiceTime(const HostName& aHost, Duration aTime)
{
  m_hosts.at(aHost)->m_config.m_serviceTime = aTime;
}

NodeDecisions&
TestMesh::Node(const HostName& aHost)
{
  return *m_hosts.at(aHost)->m_node;
}

void
TestMesh::DeliverEvent(const HostName& aHost, const Event& aEvent)
{
  Host& host = *m_hosts.at(aHost);
  if (m_faults.m_paused.contains(aHost)) {
    host.m_pendingEvents.push_back(aEvent);
    return;
  }
  std::vector<Event> events = std::exchange(host.m_pendingEvents, {});
  events.push_back(aEvent);
  for (const Event& event : events) {
    Actions actions;
    const WallMilliseconds wall =
      kWallStart + ToMilliseconds(m_now.time_since_epoch());
    host.m_node->Handle(event, { m_now, wall }, actions);
    for (const Action& action : actions) {
      std::visit([&](const auto& aTyped) { ExecuteAction(host, aTyped); },
                 action);
    }
  }
  ArmTimer(host);
}

//==============================================================================
void
TestMesh::ScheduleAfter(Duration aDelay, std::function<void()> aFunction)
{
  m_schedule.push({ m_now + aDelay, ++m_order, std::move(aFunction) });
}

void
TestMesh::ArmTimer(Host& aHost)
{
  const Instant due =
    std::max(aHost.m_node->NextWakeup(), m_now + Milliseconds(1));
  if (due >= aHost.m_timerAt) {
    return;
  }
  aHost.m_timerAt = due;
  ScheduleAfter(
    due - m_now,
    [this, name = aHost.m_config.m_host, due, run = aHost.m_incarnation] {
      Host& host = *m_hosts.at(name);
      if (host.m_timerAt == due && host.m_incarnation == run) {
        host.m_timerAt = Instant::max();
        DeliverEvent(name, TimerDue{});
      }
    });
}

void
TestMesh::Announce(Host& aHost)
{
  DeliverEvent(aHost.m_config.m_host,
               ServerAnnounced{ aHost.m_config.m_service,
                                aHost.m_peer,
                                aHost.m_config.m_slots,
                                aHost.m_serverInstance,
                                aHost.m_leaving });
}

void
TestMesh::AnnouncePeriodically(const HostName& aHost)
{
  if (m_hosts.at(aHost)->m_serverUp) {
    Announce(*m_hosts.at(aHost));
  }
  ScheduleAfter(kAnnounceInterval,
                [this, aHost] { AnnouncePeriodically(aHost); });
}

bool
TestMesh::IsUnreachable(const HostName& aFirst, const HostName& aSecond) const
{
  return m_faults.m_unreachable.contains(aFirst) ||
         m_faults.m_unreachable.contains(aSecond);
}

TestMesh::Host&
TestMesh::HostOf(const Endpoint& aPeer)
{
  for (auto& [name, host] : m_hosts) {
    if (host->m_peer == aPeer) {
      return *host;
    }
  }
  throw std::out_of_range("no host has this endpoint");
}

//==============================================================================
void
TestMesh::ExecuteAction(Host& aHost, const ForwardCall& aAction)
{
  const HostName from = aHost.m_config.m_host;
  ++m_attempts[aAction.m_header.m_request];
  aHost.m_forwarded[aAction.m_attempt] = aAction.m_host;
  const AttemptFailed timedOut{ aAction.m_attempt, true, true };
  ScheduleAfter(aAction.m_header.m_remaining, [this, from, timedOut] {
    if (m_hosts.at(from)->m_forwarded.contains(timedOut.m_attempt)) {
      ExecuteAction(*m_hosts.at(from), CancelAttempt{ timedOut.m_attempt });
      DeliverEvent(from, timedOut);
    }
  });
  if (IsUnreachable(from, aAction.m_host)) {
    return;
  }
  ScheduleAfter(m_faults.m_linkDelay, [this, from, aAction] {
    Host& target = HostOf(aAction.m_peer);
    const CallId id = MakeCallId(++m_sequence, 0);
    const Importance importance = aAction.m_header.m_importance;
    target.m_origins[id] = { from,      aAction.m_attempt, importance,
                             ++m_order, nullptr,           std::nullopt };
    target.m_peerCalls[aAction.m_attempt] = id;
    target.m_queuedCalls[id] = importance;
    ++target.m_gateCounts.at(static_cast<std::size_t>(importance));
    DeliverEvent(
      target.m_config.m_host,
      PeerCall{ id, aAction.m_attempt, aAction.m_header, aAction.m_payload });
  });
}

void
TestMesh::ExecuteAction(Host& aHost, const CancelAttempt& aAction)
{
  const auto forwarded = aHost.m_forwarded.find(aAction.m_attempt);
  if (forwarded == aHost.m_forwarded.end()) {
    return;
  }
  const HostName to = forwarded->second;
  aHost.m_forwarded.erase(forwarded);
  ScheduleAfter(m_faults.m_linkDelay, [this, to, attempt = aAction.m_attempt] {
    const auto& calls = m_hosts.at(to)->m_peerCalls;
    if (const auto call = calls.find(attempt); call != calls.end()) {
      const CallId id = call->second;
      if (m_policy.m_cancellation) {
        RemoveFromGate(*m_hosts.at(to), id);
      }
      DeliverEvent(to, CallerDisconnected{ id });
    }
  });
}

void
TestMesh::ExecuteAction(Host& aHost, const RequestWithdrawal& aAction)
{
  const HostName from = aHost.m_config.m_host;
  Host& target = HostOf(aAction.m_peer);
  const auto resolved = std::make_shared<bool>(false);
  const auto answer =
    [this, from, resolved, id = aAction.m_attempt](WithdrawalResult aResult) {
      if (!std::exchange(*resolved, true)) {
        DeliverEvent(from, WithdrawalAnswered{ id, aResult });
      }
    };
  ScheduleAfter(kWithdrawTimeout,
                [answer] { answer(WithdrawalResult::Unknown); });
  if (IsUnreachable(from, target.m_config.m_host)) {
    return;
  }
  ScheduleAfter(
    m_faults.m_linkDelay, [this, answer, to = target.m_config.m_host, aAction] {
      const CallId id = MakeCallId(++m_sequence, 0);
      m_hosts.at(to)->m_withdrawals[id] = [this,
                                           answer](WithdrawalResult aResult) {
        ScheduleAfter(m_faults.m_linkDelay,
                      [answer, aResult] { answer(aResult); });
      };
      DeliverEvent(
        to,
        WithdrawalRequested{ id, aAction.m_attempt, aAction.m_incarnation });
    });
}

void
TestMesh::ExecuteAction(Host& aHost, const DispatchCall& aAction)
{
  const HostName name = aHost.m_config.m_host;
  if (!aHost.m_serverUp) {
    ScheduleAfter(Duration::zero(), [this, name, id = aAction.m_call] {
      DeliverEvent(name, ServerFailed{ id, false, true });
    });
    return;
  }
  ++m_dispatches[aAction.m_header.m_request];
  if (aAction.m_header.m_key) {
    ++m_runsByKey[ToText(*aAction.m_header.m_key) +
                  ToText(aAction.m_header.m_operation)];
  }
  const auto job = std::make_shared<Job>();
  job->m_dispatch = aAction;
  job->m_instance = aHost.m_serverInstance;
  aHost.m_jobs[aAction.m_call] = job;
  const auto importance =
    static_cast<std::size_t>(aAction.m_header.m_importance);
  RemoveFromGate(aHost, aAction.m_call);
  aHost.m_lastDispatch.at(importance) = ++m_order;
  RunJob(aHost, job);
}

void
TestMesh::RunJob(Host& aHost, const std::shared_ptr<Job>& aJob)
{
  const HostName name = aHost.m_config.m_host;
  const PayloadPointer& payload = aJob->m_dispatch.m_payload;
  if (payload &&
      payload->m_body.find(m_faults.m_crashMarker) != std::string::npos) {
    ++m_crashes;
    ScheduleAfter(Milliseconds(1), [this, name] { CrashServer(name); });
    return;
  }
  aJob->m_callTree = ToText(aJob->m_dispatch.m_header.m_operation);
  if (aHost.m_usedSlots >= aHost.m_config.m_slots) {
    aHost.m_backlog.push_back(aJob);
    return;
  }
  StartWork(aHost, aJob);
}

void
TestMesh::StartWork(Host& aHost, const std::shared_ptr<Job>& aJob)
{
  const HostName name = aHost.m_config.m_host;
  const Duration time = aHost.m_config.m_serviceTime;
  aJob->m_hasSlot = true;
  ++aHost.m_usedSlots;
  ScheduleAfter(time, [this, name, aJob, time] {
    if (m_hooks.m_serviceTimeSpent && aJob->m_hasSlot) {
      m_hooks.m_serviceTimeSpent(aJob->m_dispatch.m_header.m_request, time);
    }
    AdvanceJob(name, aJob);
  });
}

void
TestMesh::FinishJob(Host& aHost, CallId aCall)
{
  const auto found = aHost.m_jobs.find(aCall);
  const std::shared_ptr<Job> job = found->second;
  aHost.m_jobs.erase(found);
  if (!std::exchange(job->m_hasSlot, false)) {
    std::erase(aHost.m_backlog, job);
    return;
  }
  --aHost.m_usedSlots;
  if (!aHost.m_backlog.empty()) {
    const std::shared_ptr<Job> next = aHost.m_backlog.front();
    aHost.m_backlog.pop_front();
    StartWork(aHost, next);
  }
}

void
TestMesh::AdvanceJob(const HostName& aHost, const std::shared_ptr<Job>& aJob)
{
  Host& host = *m_hosts.at(aHost);
  const CallId id = aJob->m_dispatch.m_call;
  if (aJob->m_cancelled || !host.m_jobs.contains(id)) {
    return;
  }
  const CallHeader& header = aJob->m_dispatch.m_header;
  const OperationDescription* operation = m_graph.Find(header.m_operation);
  if (operation == nullptr || aJob->m_nextCall == operation->m_calls.size()) {
    FinishJob(host, id);
    DeliverEvent(
      aHost,
      ServerAnswered{
        id,
        200,
        std::make_shared<Payload>(Payload{
          "text/plain", ToText(header.m_request) + ' ' + aJob->m_callTree }) });
    return;
  }
  const OperationName& child = operation->m_calls.at(aJob->m_nextCall).m_name;
  ++aJob->m_nextCall;
  const CallId call = MakeCallId(++m_sequence, 1);
  host.m_origins[call].m_parent = aJob;
  aJob->m_child = call;
  DeliverEvent(aHost,
               ChildCall{ call,
                          aJob->m_dispatch.m_token,
                          child,
                          header.m_key,
                          std::nullopt,
                          aJob->m_dispatch.m_payload });
}

void
TestMesh::ExecuteAction(Host& aHost, const CancelDispatch& aAction)
{
  const auto job = aHost.m_jobs.find(aAction.m_call);
  if (job == aHost.m_jobs.end()) {
    return;
  }
  job->second->m_cancelled = true;
  const std::optional<CallId> child = job->second->m_child;
  FinishJob(aHost, aAction.m_call);
  const HostName name = aHost.m_config.m_host;
  ScheduleAfter(Duration::zero(), [this, name, child, id = aAction.m_call] {
    if (child) {
      DeliverEvent(name, CallerDisconnected{ *child });
    }
    DeliverEvent(name, ServerFailed{ id, true, false });
  });
}

void
TestMesh::ExecuteAction(Host& aHost, const AnswerCall& aAction)
{
  const auto found = aHost.m_origins.find(aAction.m_call);
  if (found == aHost.m_origins.end()) {
    return;
  }
  const Origin origin = found->second;
  aHost.m_origins.erase(found);
  const HostName name = aHost.m_config.m_host;
  if (origin.m_customer) {
    const MeshAnswer answer{ origin.m_customer->m_request,
                             origin.m_customer->m_operation,
                             aAction.m_report,
                             aAction.m_payload,
                             m_now };
    if (m_hooks.m_answered) {
      m_hooks.m_answered(answer);
    } else {
      m_answers.push_back(answer);
    }
    return;
  }
  if (origin.m_parent) {
    origin.m_parent->m_child.reset();
    const bool succeeded = aAction.m_report.m_outcome == Outcome::Completed &&
                           aAction.m_report.m_status == 200;
    ScheduleAfter(Duration::zero(),
                  [this, name, aAction, succeeded, job = origin.m_parent] {
                    if (succeeded) {
                      const std::string& body = aAction.m_payload->m_body;
                      job->m_callTree += ';' + body.substr(body.find(' ') + 1);
                      AdvanceJob(name, job);
                      return;
                    }
                    Host& host = *m_hosts.at(name);
                    if (host.m_jobs.contains(job->m_dispatch.m_call)) {
                      FinishJob(host, job->m_dispatch.m_call);
                      DeliverEvent(
                        name,
                        ServerAnswered{ job->m_dispatch.m_call,
                                        503,
                                        std::make_shared<Payload>() });
                    }
                  });
    return;
  }
  aHost.m_peerCalls.erase(origin.m_attempt);
  RemoveFromGate(aHost, aAction.m_call);
  if (aAction.m_report.m_reason == Reason::Evicted ||
      aAction.m_report.m_reason == Reason::Overloaded) {
    RecordRefusal(aHost, origin);
  }
  if (IsUnreachable(name, origin.m_peer) ||
      m_random.NextDouble() < m_faults.m_answerLossRate) {
    return;
  }
  ScheduleAfter(m_faults.m_linkDelay, [this, origin, aAction] {
    Host& caller = *m_hosts.at(origin.m_peer);
    if (caller.m_forwarded.erase(origin.m_attempt) > 0) {
      DeliverEvent(origin.m_peer,
                   AttemptAnswered{
                     origin.m_attempt, aAction.m_report, aAction.m_payload });
    }
  });
}

void
TestMesh::RemoveFromGate(Host& aHost, CallId aCall)
{
  const auto call = aHost.m_queuedCalls.find(aCall);
  if (call != aHost.m_queuedCalls.end()) {
    --aHost.m_gateCounts.at(static_cast<std::size_t>(call->second));
    aHost.m_queuedCalls.erase(call);
  }
}

void
TestMesh::RecordRefusal(Host& aHost, const Origin& aOrigin)
{
  const auto own = static_cast<std::size_t>(aOrigin.m_importance);
  for (std::size_t lower = 0; lower < own; ++lower) {
    if (aHost.m_gateCounts.at(lower) > 0 ||
        aHost.m_lastDispatch.at(lower) > aOrigin.m_arrival) {
      ++m_priorityInversions;
      return;
    }
  }
}

void
TestMesh::ExecuteAction(Host& aHost, const AnswerWithdrawal& aAction)
{
  const auto found = aHost.m_withdrawals.find(aAction.m_call);
  if (found == aHost.m_withdrawals.end()) {
    return;
  }
  const auto answer = found->second;
  aHost.m_withdrawals.erase(found);
  answer(aAction.m_result);
}

void
TestMesh::ExecuteAction(Host& aHost, const CallStore& aAction)
{
  ++m_storeCalls;
  StoreLoad& load = m_storeLoads[aAction.m_call.m_client];
  ++(std::holds_alternative<TransactRequest>(aAction.m_request) ? load.m_writes
                                                                : load.m_reads);
  const HostName name = aHost.m_config.m_host;
  const std::uint64_t run = aHost.m_incarnation;
  const auto answer = [this, name, run, aAction](StoreAnswer aAnswer) {
    if (m_hosts.at(name)->m_incarnation == run) {
      DeliverEvent(name, StoreAnswered{ aAction.m_call, std::move(aAnswer) });
    }
  };
  if (m_faults.m_platformDown) {
    ScheduleAfter(kStoreTimeout,
                  [answer] { answer(StoreFailed{ "timed out" }); });
    return;
  }
  ScheduleAfter(kStoreDelay, [this, answer, aAction] {
    StoreAnswer result = m_platform.Execute(aAction.m_request);
    if (m_random.NextDouble() < m_faults.m_storeAnswerLossRate) {
      ScheduleAfter(kStoreTimeout,
                    [answer] { answer(StoreFailed{ "timed out" }); });
      return;
    }
    answer(std::move(result));
  });
}

void
TestMesh::ExecuteAction(Host& aHost, const SendGossip& aAction)
{
  const HostName from = aHost.m_config.m_host;
  Host& target = HostOf(aAction.m_peer);
  const auto resolved = std::make_shared<bool>(false);
  const auto answer = [this, from, resolved, id = aAction.m_id](
                        std::optional<GossipMessage> aGossip) {
    if (!std::exchange(*resolved, true)) {
      DeliverEvent(from, GossipAnswered{ id, std::move(aGossip) });
    }
  };
  ScheduleAfter(kGossipTimeout, [answer] { answer(std::nullopt); });
  ++m_gossipMessages;
  if (IsUnreachable(from, target.m_config.m_host)) {
    return;
  }
  ScheduleAfter(
    m_faults.m_linkDelay,
    [this, answer, to = target.m_config.m_host, gossip = aAction.m_message] {
      const CallId id = MakeCallId(++m_sequence, 0);
      m_hosts.at(to)->m_gossipAnswers[id] =
        [this, answer](const GossipMessage& aGossip) {
          ScheduleAfter(m_faults.m_linkDelay,
                        [answer, aGossip] { answer(aGossip); });
        };
      DeliverEvent(to, GossipReceived{ id, gossip });
    });
}

void
TestMesh::ExecuteAction(Host& aHost, const AnswerGossip& aAction)
{
  const auto found = aHost.m_gossipAnswers.find(aAction.m_call);
  if (found == aHost.m_gossipAnswers.end()) {
    return;
  }
  const auto answer = found->second;
  aHost.m_gossipAnswers.erase(found);
  answer(aAction.m_message);
}

void
TestMesh::ExecuteAction(Host& aHost, const FetchObject& aAction)
{
  const HostName from = aHost.m_config.m_host;
  const HostName to = HostOf(aAction.m_peer).m_config.m_host;
  const auto resolved = std::make_shared<bool>(false);
  const auto answer = [this, from, resolved, id = aAction.m_id](
                        const std::optional<std::string>& aContent) {
    if (!std::exchange(*resolved, true)) {
      DeliverEvent(from, ObjectFetched{ id, aContent });
    }
  };
  ScheduleAfter(kGossipTimeout, [answer] { answer(std::nullopt); });
  if (IsUnreachable(from, to)) {
    return;
  }
  ScheduleAfter(m_faults.m_linkDelay,
                [this, answer, to, name = aAction.m_name] {
                  const CallId id = MakeCallId(++m_sequence, 0);
                  m_hosts.at(to)->m_objectAnswers[id] =
                    [this, answer](const AnswerObject& aAnswer) {
                      ScheduleAfter(m_faults.m_linkDelay,
                                    [answer, content = aAnswer.m_content] {
                                      answer(content);
                                    });
                    };
                  DeliverEvent(to, ObjectRequested{ id, name });
                });
}

void
TestMesh::ExecuteAction(Host& aHost, const AnswerObject& aAction)
{
  const auto found = aHost.m_objectAnswers.find(aAction.m_call);
  if (found == aHost.m_objectAnswers.end()) {
    return;
  }
  const auto answer = found->second;
  aHost.m_objectAnswers.erase(found);
  answer(aAction);
}

void
TestMesh::ExecuteAction(Host& /*aHost*/, const WriteLog& /*aAction*/)
{
}

//==============================================================================
std::vector<ServiceFileText>
BookingGraph()
{
  return { { "shop.json",
             R"({ "service": "shop", "operations": {
        "book": { "importance": "protected", "patience_ms": 3000,
                  "calls": ["price/quote"] },
        "status": { "importance": "normal", "idempotent": true,
                    "patience_ms": 1000 },
        "browse": { "importance": "low", "idempotent": true,
                    "patience_ms": 1000 } } })" },
           { "price.json",
             R"({ "service": "price", "operations": {
        "quote": { "importance": "normal", "idempotent": true,
                   "patience_ms": 1000, "calls": ["stock/count"] } } })" },
           { "stock.json",
             R"({ "service": "stock", "operations": {
        "count": { "importance": "normal", "idempotent": true,
                   "patience_ms": 500 } } })" } };
}

std::vector<MeshHost>
BookingHosts()
{
  return { { "shop-1", "shop" },   { "shop-2", "shop", "b" },
           { "price-1", "price" }, { "price-2", "price", "b" },
           { "stock-1", "stock" }, { "stock-2", "stock", "b" } };
}

}
