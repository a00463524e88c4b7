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
constexpr Duration kRumourTimeout = Milliseconds(500);
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

/* Who waits for the answer of a call that a node has open. */
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
  DispatchCall m_handOver;
  std::uint64_t m_instance = 0;
  std::size_t m_nextCall = 0;
  std::string m_tree;
  bool m_cancelled = false;
  /* Holds one of the server's slots. */
  bool m_working = false;
  std::optional<CallId> m_child;
};

struct TestMesh::Host
{
  MeshHost m_plan;
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
  std::map<CallId, std::function<void(const GossipMessage&)>> m_rumourAnswers;
  std::map<CallId, std::function<void(const AnswerObject&)>> m_objectAnswers;
  std::map<AttemptId, CallId> m_peerCalls;
  /* Calls at the gate by importance, and when one was handed over last. */
  std::map<CallId, Importance> m_gateCalls;
  std::array<std::uint64_t, kImportanceCount> m_atGate{};
  std::array<std::uint64_t, kImportanceCount> m_lastHandOver{};
  std::uint32_t m_working = 0;
  std::deque<std::shared_ptr<Job>> m_backlog;
  std::vector<Event> m_waiting;
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
  for (MeshHost& plan : aHosts) {
    auto host = std::make_unique<Host>();
    host->m_peer = { "127.0.0.1", port++ };
    host->m_plan = std::move(plan);
    m_hosts.emplace(host->m_plan.m_host, std::move(host));
  }
  m_graph = BuildGraph(aFiles);
  PublishFiles(aFiles, "test");
  for (auto& [name, host] : m_hosts) {
    RestartNode(name);
    AnnounceEvery(name);
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
  Feed(aHost, call);
}

void
TestMesh::HangUp(const RequestId& aRequest)
{
  for (auto& [name, host] : m_hosts) {
    for (const auto& [id, origin] : host->m_origins) {
      if (origin.m_customer && origin.m_customer->m_request == aRequest) {
        Feed(name, CallerDisconnected{ id });
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
  host.m_atGate.fill(0);
  host.m_gateCalls.clear();
  host.m_waiting.clear();
  host.m_timerAt = Instant::max();
  host.m_node = std::make_unique<NodeDecisions>(
    NodeIdentity{ aHost,
                  Incarnation{ host.m_incarnation },
                  host.m_plan.m_region,
                  host.m_plan.m_dataCentre,
                  host.m_peer,
                  Hash(aHost, host.m_incarnation) },
    m_policy);
  Feed(aHost, TimerDue{});
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
  host.m_working = 0;
  for (const auto& [id, job] : jobs) {
    Feed(aHost, ServerFailed{ id, true, false });
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
  m_hosts.at(aHost)->m_plan.m_serviceTime = aTime;
}

NodeDecisions&
TestMesh::Node(const HostName& aHost)
{
  return *m_hosts.at(aHost)->m_node;
}

void
TestMesh::Feed(const HostName& aHost, const Event& aEvent)
{
  Host& host = *m_hosts.at(aHost);
  if (m_faults.m_paused.contains(aHost)) {
    host.m_waiting.push_back(aEvent);
    return;
  }
  std::vector<Event> events = std::exchange(host.m_waiting, {});
  events.push_back(aEvent);
  for (const Event& event : events) {
    Actions actions;
    const WallMilliseconds wall =
      kWallStart + ToMilliseconds(m_now.time_since_epoch());
    host.m_node->Handle(event, { m_now, wall }, actions);
    for (const Action& action : actions) {
      std::visit([&](const auto& aTyped) { Do(host, aTyped); }, action);
    }
  }
  ArmTimer(host);
}

//==============================================================================
void
TestMesh::After(Duration aDelay, std::function<void()> aFunction)
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
  After(due - m_now,
        [this, name = aHost.m_plan.m_host, due, run = aHost.m_incarnation] {
          Host& host = *m_hosts.at(name);
          if (host.m_timerAt == due && host.m_incarnation == run) {
            host.m_timerAt = Instant::max();
            Feed(name, TimerDue{});
          }
        });
}

void
TestMesh::Announce(Host& aHost)
{
  Feed(aHost.m_plan.m_host,
       ServerAnnounced{ aHost.m_plan.m_service,
                        aHost.m_peer,
                        aHost.m_plan.m_slots,
                        aHost.m_serverInstance,
                        aHost.m_leaving });
}

void
TestMesh::AnnounceEvery(const HostName& aHost)
{
  if (m_hosts.at(aHost)->m_serverUp) {
    Announce(*m_hosts.at(aHost));
  }
  After(kAnnounceInterval, [this, aHost] { AnnounceEvery(aHost); });
}

bool
TestMesh::IsCut(const HostName& aFirst, const HostName& aSecond) const
{
  return m_faults.m_cut.contains(aFirst) || m_faults.m_cut.contains(aSecond);
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
TestMesh::Do(Host& aHost, const ForwardCall& aAction)
{
  const HostName from = aHost.m_plan.m_host;
  ++m_attempts[aAction.m_header.m_request];
  aHost.m_forwarded[aAction.m_attempt] = aAction.m_host;
  const AttemptFailed timedOut{ aAction.m_attempt, true, true };
  After(aAction.m_header.m_remaining, [this, from, timedOut] {
    if (m_hosts.at(from)->m_forwarded.contains(timedOut.m_attempt)) {
      Do(*m_hosts.at(from), CancelAttempt{ timedOut.m_attempt });
      Feed(from, timedOut);
    }
  });
  if (IsCut(from, aAction.m_host)) {
    return;
  }
  After(m_faults.m_linkDelay, [this, from, aAction] {
    Host& target = HostOf(aAction.m_peer);
    const CallId id = MakeCallId(++m_sequence, 0);
    const Importance importance = aAction.m_header.m_importance;
    target.m_origins[id] = { from,      aAction.m_attempt, importance,
                             ++m_order, nullptr,           std::nullopt };
    target.m_peerCalls[aAction.m_attempt] = id;
    target.m_gateCalls[id] = importance;
    ++target.m_atGate.at(static_cast<std::size_t>(importance));
    Feed(
      target.m_plan.m_host,
      PeerCall{ id, aAction.m_attempt, aAction.m_header, aAction.m_payload });
  });
}

void
TestMesh::Do(Host& aHost, const CancelAttempt& aAction)
{
  const auto forwarded = aHost.m_forwarded.find(aAction.m_attempt);
  if (forwarded == aHost.m_forwarded.end()) {
    return;
  }
  const HostName to = forwarded->second;
  aHost.m_forwarded.erase(forwarded);
  After(m_faults.m_linkDelay, [this, to, attempt = aAction.m_attempt] {
    const auto& calls = m_hosts.at(to)->m_peerCalls;
    if (const auto call = calls.find(attempt); call != calls.end()) {
      const CallId id = call->second;
      if (m_policy.m_cancellation) {
        LeaveGate(*m_hosts.at(to), id);
      }
      Feed(to, CallerDisconnected{ id });
    }
  });
}

void
TestMesh::Do(Host& aHost, const RequestWithdrawal& aAction)
{
  const HostName from = aHost.m_plan.m_host;
  Host& target = HostOf(aAction.m_peer);
  const auto settled = std::make_shared<bool>(false);
  const auto answer =
    [this, from, settled, id = aAction.m_attempt](WithdrawalResult aResult) {
      if (!std::exchange(*settled, true)) {
        Feed(from, WithdrawalAnswered{ id, aResult });
      }
    };
  After(kWithdrawTimeout, [answer] { answer(WithdrawalResult::Unknown); });
  if (IsCut(from, target.m_plan.m_host)) {
    return;
  }
  After(
    m_faults.m_linkDelay, [this, answer, to = target.m_plan.m_host, aAction] {
      const CallId id = MakeCallId(++m_sequence, 0);
      m_hosts.at(to)->m_withdrawals[id] = [this,
                                           answer](WithdrawalResult aResult) {
        After(m_faults.m_linkDelay, [answer, aResult] { answer(aResult); });
      };
      Feed(to,
           WithdrawalRequested{ id, aAction.m_attempt, aAction.m_incarnation });
    });
}

void
TestMesh::Do(Host& aHost, const DispatchCall& aAction)
{
  const HostName name = aHost.m_plan.m_host;
  if (!aHost.m_serverUp) {
    After(Duration::zero(), [this, name, id = aAction.m_call] {
      Feed(name, ServerFailed{ id, false, true });
    });
    return;
  }
  ++m_handOvers[aAction.m_header.m_request];
  if (aAction.m_header.m_key) {
    ++m_runsByKey[ToText(*aAction.m_header.m_key) +
                  ToText(aAction.m_header.m_operation)];
  }
  const auto job = std::make_shared<Job>();
  job->m_handOver = aAction;
  job->m_instance = aHost.m_serverInstance;
  aHost.m_jobs[aAction.m_call] = job;
  const auto importance =
    static_cast<std::size_t>(aAction.m_header.m_importance);
  LeaveGate(aHost, aAction.m_call);
  aHost.m_lastHandOver.at(importance) = ++m_order;
  RunJob(aHost, job);
}

void
TestMesh::RunJob(Host& aHost, const std::shared_ptr<Job>& aJob)
{
  const HostName name = aHost.m_plan.m_host;
  const PayloadPointer& payload = aJob->m_handOver.m_payload;
  if (payload &&
      payload->m_body.find(m_faults.m_crashMark) != std::string::npos) {
    ++m_crashes;
    After(Milliseconds(1), [this, name] { CrashServer(name); });
    return;
  }
  aJob->m_tree = ToText(aJob->m_handOver.m_header.m_operation);
  if (aHost.m_working >= aHost.m_plan.m_slots) {
    aHost.m_backlog.push_back(aJob);
    return;
  }
  StartWork(aHost, aJob);
}

void
TestMesh::StartWork(Host& aHost, const std::shared_ptr<Job>& aJob)
{
  const HostName name = aHost.m_plan.m_host;
  const Duration time = aHost.m_plan.m_serviceTime;
  aJob->m_working = true;
  ++aHost.m_working;
  After(time, [this, name, aJob, time] {
    if (m_hooks.m_worked && aJob->m_working) {
      m_hooks.m_worked(aJob->m_handOver.m_header.m_request, time);
    }
    StepJob(name, aJob);
  });
}

void
TestMesh::EndJob(Host& aHost, CallId aCall)
{
  const auto found = aHost.m_jobs.find(aCall);
  const std::shared_ptr<Job> job = found->second;
  aHost.m_jobs.erase(found);
  if (!std::exchange(job->m_working, false)) {
    std::erase(aHost.m_backlog, job);
    return;
  }
  --aHost.m_working;
  if (!aHost.m_backlog.empty()) {
    const std::shared_ptr<Job> next = aHost.m_backlog.front();
    aHost.m_backlog.pop_front();
    StartWork(aHost, next);
  }
}

void
TestMesh::StepJob(const HostName& aHost, const std::shared_ptr<Job>& aJob)
{
  Host& host = *m_hosts.at(aHost);
  const CallId id = aJob->m_handOver.m_call;
  if (aJob->m_cancelled || !host.m_jobs.contains(id)) {
    return;
  }
  const CallHeader& header = aJob->m_handOver.m_header;
  const OperationDescription* operation = m_graph.Find(header.m_operation);
  if (operation == nullptr || aJob->m_nextCall == operation->m_calls.size()) {
    EndJob(host, id);
    Feed(aHost,
         ServerAnswered{
           id,
           200,
           std::make_shared<Payload>(Payload{
             "text/plain", ToText(header.m_request) + ' ' + aJob->m_tree }) });
    return;
  }
  const OperationName& child = operation->m_calls.at(aJob->m_nextCall).m_name;
  ++aJob->m_nextCall;
  const CallId call = MakeCallId(++m_sequence, 1);
  host.m_origins[call].m_parent = aJob;
  aJob->m_child = call;
  Feed(aHost,
       ChildCall{ call,
                  aJob->m_handOver.m_token,
                  child,
                  header.m_key,
                  std::nullopt,
                  aJob->m_handOver.m_payload });
}

void
TestMesh::Do(Host& aHost, const CancelDispatch& aAction)
{
  const auto job = aHost.m_jobs.find(aAction.m_call);
  if (job == aHost.m_jobs.end()) {
    return;
  }
  job->second->m_cancelled = true;
  const std::optional<CallId> child = job->second->m_child;
  EndJob(aHost, aAction.m_call);
  const HostName name = aHost.m_plan.m_host;
  After(Duration::zero(), [this, name, child, id = aAction.m_call] {
    if (child) {
      Feed(name, CallerDisconnected{ *child });
    }
    Feed(name, ServerFailed{ id, true, false });
  });
}

void
TestMesh::Do(Host& aHost, const AnswerCall& aAction)
{
  const auto found = aHost.m_origins.find(aAction.m_call);
  if (found == aHost.m_origins.end()) {
    return;
  }
  const Origin origin = found->second;
  aHost.m_origins.erase(found);
  const HostName name = aHost.m_plan.m_host;
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
    const bool whole = aAction.m_report.m_outcome == Outcome::Completed &&
                       aAction.m_report.m_status == 200;
    After(
      Duration::zero(), [this, name, aAction, whole, job = origin.m_parent] {
        if (whole) {
          const std::string& body = aAction.m_payload->m_body;
          job->m_tree += ';' + body.substr(body.find(' ') + 1);
          StepJob(name, job);
          return;
        }
        Host& host = *m_hosts.at(name);
        if (host.m_jobs.contains(job->m_handOver.m_call)) {
          EndJob(host, job->m_handOver.m_call);
          Feed(name,
               ServerAnswered{
                 job->m_handOver.m_call, 503, std::make_shared<Payload>() });
        }
      });
    return;
  }
  aHost.m_peerCalls.erase(origin.m_attempt);
  LeaveGate(aHost, aAction.m_call);
  if (aAction.m_report.m_reason == Reason::Evicted ||
      aAction.m_report.m_reason == Reason::Overloaded) {
    NoteRefusal(aHost, origin);
  }
  if (IsCut(name, origin.m_peer) ||
      m_random.NextDouble() < m_faults.m_lostAnswers) {
    return;
  }
  After(m_faults.m_linkDelay, [this, origin, aAction] {
    Host& asker = *m_hosts.at(origin.m_peer);
    if (asker.m_forwarded.erase(origin.m_attempt) > 0) {
      Feed(origin.m_peer,
           AttemptAnswered{
             origin.m_attempt, aAction.m_report, aAction.m_payload });
    }
  });
}

void
TestMesh::LeaveGate(Host& aHost, CallId aCall)
{
  const auto call = aHost.m_gateCalls.find(aCall);
  if (call != aHost.m_gateCalls.end()) {
    --aHost.m_atGate.at(static_cast<std::size_t>(call->second));
    aHost.m_gateCalls.erase(call);
  }
}

void
TestMesh::NoteRefusal(Host& aHost, const Origin& aOrigin)
{
  const auto own = static_cast<std::size_t>(aOrigin.m_importance);
  for (std::size_t lower = 0; lower < own; ++lower) {
    if (aHost.m_atGate.at(lower) > 0 ||
        aHost.m_lastHandOver.at(lower) > aOrigin.m_arrival) {
      ++m_inversions;
      return;
    }
  }
}

void
TestMesh::Do(Host& aHost, const AnswerWithdrawal& aAction)
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
TestMesh::Do(Host& aHost, const CallStore& aAction)
{
  ++m_storeCalls;
  StoreLoad& load = m_storeLoads[aAction.m_call.m_client];
  ++(std::holds_alternative<TransactRequest>(aAction.m_request) ? load.m_writes
                                                                : load.m_reads);
  const HostName name = aHost.m_plan.m_host;
  const std::uint64_t run = aHost.m_incarnation;
  const auto answer = [this, name, run, aAction](StoreAnswer aAnswer) {
    if (m_hosts.at(name)->m_incarnation == run) {
      Feed(name, StoreAnswered{ aAction.m_call, std::move(aAnswer) });
    }
  };
  if (m_faults.m_platformDown) {
    After(kStoreTimeout, [answer] { answer(StoreFailed{ "timed out" }); });
    return;
  }
  After(kStoreDelay, [this, answer, aAction] {
    StoreAnswer result = m_platform.Execute(aAction.m_request);
    if (m_random.NextDouble() < m_faults.m_lostStoreAnswers) {
      After(kStoreTimeout, [answer] { answer(StoreFailed{ "timed out" }); });
      return;
    }
    answer(std::move(result));
  });
}

void
TestMesh::Do(Host& aHost, const SendGossip& aAction)
{
  const HostName from = aHost.m_plan.m_host;
  Host& target = HostOf(aAction.m_peer);
  const auto settled = std::make_shared<bool>(false);
  const auto answer = [this, from, settled, id = aAction.m_id](
                        std::optional<GossipMessage> aRumour) {
    if (!std::exchange(*settled, true)) {
      Feed(from, GossipAnswered{ id, std::move(aRumour) });
    }
  };
  After(kRumourTimeout, [answer] { answer(std::nullopt); });
  ++m_rumours;
  if (IsCut(from, target.m_plan.m_host)) {
    return;
  }
  After(m_faults.m_linkDelay,
        [this, answer, to = target.m_plan.m_host, rumour = aAction.m_message] {
          const CallId id = MakeCallId(++m_sequence, 0);
          m_hosts.at(to)->m_rumourAnswers[id] =
            [this, answer](const GossipMessage& aRumour) {
              After(m_faults.m_linkDelay,
                    [answer, aRumour] { answer(aRumour); });
            };
          Feed(to, GossipReceived{ id, rumour });
        });
}

void
TestMesh::Do(Host& aHost, const AnswerGossip& aAction)
{
  const auto found = aHost.m_rumourAnswers.find(aAction.m_call);
  if (found == aHost.m_rumourAnswers.end()) {
    return;
  }
  const auto answer = found->second;
  aHost.m_rumourAnswers.erase(found);
  answer(aAction.m_message);
}

void
TestMesh::Do(Host& aHost, const FetchObject& aAction)
{
  const HostName from = aHost.m_plan.m_host;
  const HostName to = HostOf(aAction.m_peer).m_plan.m_host;
  const auto settled = std::make_shared<bool>(false);
  const auto answer = [this, from, settled, id = aAction.m_id](
                        const std::optional<std::string>& aContent) {
    if (!std::exchange(*settled, true)) {
      Feed(from, ObjectFetched{ id, aContent });
    }
  };
  After(kRumourTimeout, [answer] { answer(std::nullopt); });
  if (IsCut(from, to)) {
    return;
  }
  After(m_faults.m_linkDelay, [this, answer, to, name = aAction.m_name] {
    const CallId id = MakeCallId(++m_sequence, 0);
    m_hosts.at(to)->m_objectAnswers[id] =
      [this, answer](const AnswerObject& aAnswer) {
        After(m_faults.m_linkDelay,
              [answer, content = aAnswer.m_content] { answer(content); });
      };
    Feed(to, ObjectRequested{ id, name });
  });
}

void
TestMesh::Do(Host& aHost, const AnswerObject& aAction)
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
TestMesh::Do(Host& /*aHost*/, const WriteLog& /*aAction*/)
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
