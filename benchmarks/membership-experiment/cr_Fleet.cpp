#include "cr_Fleet.h"

#include <ctime>

#include <fmt/format.h>

#include "cr_process/wire/cr_GossipWire.h"
#include "cr_rpc/cr_rpc.h"

namespace cr {

namespace {

constexpr Duration kAnnounceInterval = Seconds(1);
constexpr Duration kLinkDelay = Milliseconds(1);
constexpr Duration kStoreDelay = Milliseconds(2);
constexpr Duration kStoreTimeout = Seconds(2);
constexpr Duration kMaxStartDelay = Seconds(2);
constexpr WallMilliseconds kWallStart = 1'800'000'000'000;
constexpr std::size_t kNodesPerService = 11;
constexpr std::size_t kNodesPerAddress = 200;
constexpr std::uint16_t kFirstPort = 10000;
constexpr int kCallerTimeoutMs = 1000;
constexpr std::uint64_t kHttpHeaderBytes = 260;
constexpr std::uint64_t kTcpOverheadBytes = 160;

std::chrono::nanoseconds
ProcessorTime()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

}

struct Fleet::Node
{
  std::uint64_t m_incarnation = 0;
  std::unique_ptr<NodeDecisions> m_decisions;
  bool m_leaving = false;
  Instant m_timerAt = Instant::max();
};

Fleet::Fleet(std::size_t aNodes, std::uint64_t aSeed)
  : m_services(std::max<std::size_t>(1, aNodes / kNodesPerService))
  , m_seed(aSeed)
{
  PublishChange();
  Random random(aSeed);
  for (std::size_t node = 0; node < aNodes; ++node) {
    m_nodes.push_back(std::make_unique<Node>());
  }
  for (std::size_t node = 0; node < aNodes; ++node) {
    const auto spread = static_cast<std::uint64_t>(kMaxStartDelay.count());
    const Duration delay(static_cast<Duration::rep>(random.NextBelow(spread)));
    Start(node);
    ScheduleAfter(delay, [this, node] { HandleEvent(node, TimerDue{}); });
    ScheduleAfter(delay + Milliseconds(1), [this, node] { Announce(node); });
  }
}

Fleet::~Fleet() = default;

void
Fleet::RunFor(Duration aTime)
{
  const Instant end = m_now + aTime;
  while (!m_schedule.empty() && m_schedule.top().m_at <= end) {
    const auto function = m_schedule.top().m_function;
    m_now = m_schedule.top().m_at;
    m_schedule.pop();
    function();
  }
  m_now = end;
}

Duration
Fleet::RunUntil(const std::function<bool()>& aCondition, Duration aLimit)
{
  const Instant start = m_now;
  while (!aCondition() && m_now - start < aLimit) {
    RunFor(Milliseconds(10));
  }
  return m_now - start;
}

void
Fleet::Restart(std::size_t aNode)
{
  Start(aNode);
  HandleEvent(aNode, TimerDue{});
}

void
Fleet::Leave(std::size_t aNode)
{
  m_nodes.at(aNode)->m_leaving = true;
  Announce(aNode);
}

Generation
Fleet::PublishChange()
{
  PublicationRequest request;
  request.m_files = MakeServiceFiles(kCallerTimeoutMs + ++m_publications);
  if (m_publications > 1) {
    request.m_files = { request.m_files.back() };
  }
  request.m_operator = "experiment";
  request.m_publicationId = std::to_string(m_publications);
  const auto result = Publish(request, [this](const StoreRequest& aRequest) {
    return m_platform.Execute(aRequest);
  });
  return std::get<Published>(result).m_generation;
}

std::size_t
Fleet::CountActive(Generation aGeneration) const
{
  std::size_t count = 0;
  for (const auto& node : m_nodes) {
    count += node->m_decisions->ActiveGeneration() == aGeneration ? 1U : 0U;
  }
  return count;
}

std::size_t
Fleet::CountSeenLeaving(std::size_t aNode) const
{
  std::size_t count = 0;
  for (const auto& node : m_nodes) {
    const auto row = node->m_decisions->FindNode(HostNameOf(aNode));
    count += row && row->m_state == ServerState::Leaving ? 1U : 0U;
  }
  return count;
}

//==============================================================================
void
Fleet::ScheduleAfter(Duration aDelay, std::function<void()> aFunction)
{
  m_schedule.push({ m_now + aDelay, ++m_order, std::move(aFunction) });
}

void
Fleet::Announce(std::size_t aNode)
{
  Node& node = *m_nodes.at(aNode);
  const Endpoint server{ "127.0.0.1", 1 };
  HandleEvent(
    aNode, ServerAnnounced{ ServiceOf(aNode), server, 10, 1, node.m_leaving });
  if (!node.m_leaving) {
    ScheduleAfter(kAnnounceInterval, [this, aNode] {
      if (!m_nodes.at(aNode)->m_leaving) {
        Announce(aNode);
      }
    });
  }
}

void
Fleet::HandleEvent(std::size_t aNode, const Event& aEvent)
{
  Actions actions;
  const auto before = ProcessorTime();
  m_nodes.at(aNode)->m_decisions->Handle(aEvent, Now(), actions);
  m_cost.m_decisionTime += ProcessorTime() - before;
  for (const Action& action : actions) {
    std::visit(
      [&](const auto& aTyped) {
        if constexpr (requires { ExecuteAction(aNode, aTyped); }) {
          ExecuteAction(aNode, aTyped);
        }
      },
      action);
  }
  ArmTimer(aNode);
}

void
Fleet::ArmTimer(std::size_t aNode)
{
  Node& node = *m_nodes.at(aNode);
  const Instant due =
    std::max(node.m_decisions->NextWakeup(), m_now + Milliseconds(1));
  if (due >= node.m_timerAt) {
    return;
  }
  node.m_timerAt = due;
  ScheduleAfter(
    due - m_now, [this, aNode, due, incarnation = node.m_incarnation] {
      Node& current = *m_nodes.at(aNode);
      if (current.m_timerAt == due && current.m_incarnation == incarnation) {
        current.m_timerAt = Instant::max();
        HandleEvent(aNode, TimerDue{});
      }
    });
}

void
Fleet::Start(std::size_t aNode)
{
  Node& node = *m_nodes.at(aNode);
  ++node.m_incarnation;
  node.m_timerAt = Instant::max();
  const std::string dataCentre = std::to_string(aNode % 5);
  node.m_decisions = std::make_unique<NodeDecisions>(NodeIdentity{
    HostNameOf(aNode),
    Incarnation{ static_cast<std::uint64_t>(kWallStart) + node.m_incarnation },
    "region-" + std::to_string(aNode % 2),
    "data-centre-" + dataCentre,
    { "127.0.0." + std::to_string(aNode / kNodesPerAddress),
      static_cast<std::uint16_t>(kFirstPort + aNode % kNodesPerAddress) },
    Hash(aNode, m_seed + node.m_incarnation) });
}

template<typename Answer>
Answer
Fleet::HandleAndAnswer(std::size_t aNode, const Event& aEvent)
{
  Actions actions;
  const auto before = ProcessorTime();
  m_nodes.at(aNode)->m_decisions->Handle(aEvent, Now(), actions);
  m_cost.m_decisionTime += ProcessorTime() - before;
  Answer answer;
  for (const Action& action : actions) {
    std::visit(
      [&](const auto& aTyped) {
        if constexpr (std::is_same_v<std::decay_t<decltype(aTyped)>, Answer>) {
          answer = aTyped;
        } else if constexpr (requires { ExecuteAction(aNode, aTyped); }) {
          ExecuteAction(aNode, aTyped);
        }
      },
      action);
  }
  ArmTimer(aNode);
  return answer;
}

void
Fleet::ExecuteAction(std::size_t aNode, const SendGossip& aAction)
{
  ++m_cost.m_gossipMessages;
  const auto before = ProcessorTime();
  const Json::Value sent = EncodeGossip(aAction.m_message);
  const std::size_t bytes = EncodeRpcCall("rumour", sent).size();
  const auto decoded = DecodeGossip(sent);
  m_cost.m_codecTime += ProcessorTime() - before;
  m_cost.m_bytes += 2 * (bytes + kHttpHeaderBytes + kTcpOverheadBytes);
  const std::size_t to =
    static_cast<std::size_t>(std::stoi(aAction.m_peer.m_address.substr(8))) *
      kNodesPerAddress +
    aAction.m_peer.m_port - kFirstPort;
  ScheduleAfter(kLinkDelay,
                [this, aNode, to, id = aAction.m_id, message = *decoded] {
                  const auto answer = HandleAndAnswer<AnswerGossip>(
                    to, GossipReceived{ CallId{ ++m_calls }, message });
                  const auto start = ProcessorTime();
                  m_cost.m_bytes += 2 * WriteJson(EncodeAnswer(answer)).size();
                  m_cost.m_codecTime += ProcessorTime() - start;
                  ScheduleAfter(kLinkDelay, [this, aNode, id, answer] {
                    HandleEvent(aNode, GossipAnswered{ id, answer.m_message });
                  });
                });
}

void
Fleet::ExecuteAction(std::size_t aNode, const FetchObject& aAction)
{
  const std::size_t to =
    static_cast<std::size_t>(std::stoi(aAction.m_peer.m_address.substr(8))) *
      kNodesPerAddress +
    aAction.m_peer.m_port - kFirstPort;
  ScheduleAfter(kLinkDelay, [this, aNode, to, aAction] {
    const auto answer = HandleAndAnswer<AnswerObject>(
      to, ObjectRequested{ CallId{ ++m_calls }, aAction.m_name });
    const std::size_t size = answer.m_content ? answer.m_content->size() : 0;
    m_cost.m_bytes += 2 * (size + kHttpHeaderBytes + kTcpOverheadBytes);
    ScheduleAfter(kLinkDelay, [this, aNode, id = aAction.m_id, answer] {
      HandleEvent(aNode, ObjectFetched{ id, answer.m_content });
    });
  });
}

void
Fleet::ExecuteAction(std::size_t aNode, const CallStore& aAction)
{
  const bool write = std::holds_alternative<TransactRequest>(aAction.m_request);
  ++(write ? m_cost.m_storeWrites : m_cost.m_storeReads);
  const auto before = ProcessorTime();
  m_cost.m_bytes += EncodeStoreRequest(aAction.m_request).size() +
                    kHttpHeaderBytes + kTcpOverheadBytes;
  m_cost.m_codecTime += ProcessorTime() - before;
  if (m_platformDown) {
    ScheduleAfter(kStoreTimeout, [this, aNode, call = aAction.m_call] {
      HandleEvent(aNode, StoreAnswered{ call, StoreFailed{ "timed out" } });
    });
    return;
  }
  ScheduleAfter(kStoreDelay, [this, aNode, aAction] {
    StoreAnswer answer = m_platform.Execute(aAction.m_request);
    const auto start = ProcessorTime();
    const std::string text = EncodeStoreAnswer(answer);
    m_cost.m_bytes += text.size();
    (void)DecodeStoreAnswer(text);
    m_cost.m_codecTime += ProcessorTime() - start;
    HandleEvent(aNode, StoreAnswered{ aAction.m_call, std::move(answer) });
  });
}

Moment
Fleet::Now() const
{
  return { m_now, kWallStart + ToMilliseconds(m_now.time_since_epoch()) };
}

HostName
Fleet::HostNameOf(std::size_t aNode) const
{
  return fmt::format("host-{:04}", aNode);
}

std::string
Fleet::ServiceOf(std::size_t aNode) const
{
  return fmt::format("service-{:02}", aNode % m_services);
}

std::vector<ServiceFileText>
Fleet::MakeServiceFiles(int aCallerTimeoutMs) const
{
  std::vector<ServiceFileText> files;
  for (std::size_t service = 0; service < m_services; ++service) {
    std::string operations;
    for (int operation = 0; operation < 6; ++operation) {
      operations += fmt::format(
        R"({}"operation-{}": {{ "importance": "normal", "idempotent": true,
           "patience_ms": {} }})",
        operation == 0 ? "" : ", ",
        operation,
        aCallerTimeoutMs);
    }
    const std::string name = ServiceOf(service);
    files.push_back(
      { name + ".json",
        fmt::format(R"({{ "service": "{}", "operations": {{ {} }} }})",
                    name,
                    operations) });
  }
  return files;
}

}
