#include "cr_process/report/cr_NodeMetrics.h"

#include "cr_process/wire/cr_GossipWire.h"

namespace cr {

namespace {

/** Max calls per shard whose latency is tracked; further calls are only
    counted. */
constexpr std::size_t kMaxTrackedCalls = 4096;
/** Bytes counted for the request line, headers and RPC envelope of each control
    message, in addition to its body. */
constexpr std::size_t kFramingBytes = 220;

enum Metric : MetricId
{
  CallsArrived,
  CallsAnswered,
  CallSeconds,
  CallersDisconnected,
  Attempts,
  AttemptFailures,
  QueueSeconds,
  ServerSeconds,
  ServerResults,
  Withdrawals,
  GossipMessages,
  StoreCalls,
  ControlBytes,
  GateRunning,
  GateWaiting,
  GateLevel,
  GateSlots,
  EntryCalls,
  KnownNodes,
  KnownHosts,
  ConfigurationGeneration,
  ProcessorSeconds,
  ResidentBytes,
  Threads,
  MetricCount
};

using Families = std::array<MetricFamily, MetricCount>;

constexpr Families kFamilies = { {
  { "corianderrack_calls_total", "Calls that arrived." },
  { "corianderrack_answers_total", "Calls answered, by outcome and reason." },
  { "corianderrack_call_seconds",
    "Time from a call's arrival to its answer.",
    MetricKind::Histogram },
  { "corianderrack_callers_gone_total",
    "Callers that closed their connection before the answer." },
  { "corianderrack_attempts_total", "Calls forwarded to a gate." },
  { "corianderrack_attempt_failures_total", "Attempts without an answer." },
  { "corianderrack_gate_queue_seconds",
    "Time from a call's arrival at the gate to its hand-over.",
    MetricKind::Histogram },
  { "corianderrack_server_seconds",
    "Time from a call's hand-over to the backend server's answer.",
    MetricKind::Histogram },
  { "corianderrack_server_results_total", "Calls that left the server." },
  { "corianderrack_withdrawals_total", "Withdrawals answered, by result." },
  { "corianderrack_rumours_total", "Rumours between nodes." },
  { "corianderrack_store_calls_total", "Platform requests, by answer." },
  { "corianderrack_control_bytes_total",
    "Bytes of HTTP messages for control, without the layers below." },
  { "corianderrack_gate_running",
    "Calls in the backend server.",
    MetricKind::Gauge },
  { "corianderrack_gate_waiting", "Calls at the gate.", MetricKind::Gauge },
  { "corianderrack_gate_level",
    "Admission level; calls of a lower rank are refused.",
    MetricKind::Gauge },
  { "corianderrack_gate_slots", "Slots announced.", MetricKind::Gauge },
  { "corianderrack_entry_calls",
    "Calls in progress that entered here.",
    MetricKind::Gauge },
  { "corianderrack_known_nodes", "Nodes known.", MetricKind::Gauge },
  { "corianderrack_known_hosts",
    "Hosts of a service that may be called.",
    MetricKind::Gauge },
  { "corianderrack_configuration_generation",
    "Configuration in force; 0 means none.",
    MetricKind::Gauge },
  { "corianderrack_process_cpu_seconds_total",
    "Processor time of the process." },
  { "corianderrack_process_resident_bytes",
    "Resident memory of the process.",
    MetricKind::Gauge },
  { "corianderrack_process_threads", "Threads.", MetricKind::Gauge },
} };

std::string_view
ToText(WithdrawalResult aResult)
{
  constexpr std::array<std::string_view, 3> names = { "not-run",
                                                      "ran",
                                                      "unknown" };
  return names.at(static_cast<std::size_t>(aResult));
}

std::string_view
ToText(StoreClient aClient)
{
  constexpr std::array<std::string_view, 3> names = { "directory",
                                                      "configuration",
                                                      "ownership" };
  return names.at(static_cast<std::size_t>(aClient));
}

std::string_view
ResultOf(const StoreAnswer& aAnswer)
{
  if (std::holds_alternative<StoreFailed>(aAnswer)) {
    return "failed";
  }
  return std::holds_alternative<ConditionFailed>(aAnswer) ? "condition-failed"
                                                          : "ok";
}

std::size_t
SizeOf(const GossipMessage& aMessage)
{
  return WriteJson(EncodeGossip(aMessage)).size();
}

/* Returns whether the event is a new call of a customer or of the backend
   server, so that forwarding it is a first attempt and not a retry. */
bool
IsNewCall(const Event& aEvent)
{
  return std::holds_alternative<CustomerCall>(aEvent) ||
         std::holds_alternative<ChildCall>(aEvent);
}

}

NodeMetrics::NodeMetrics()
  : m_registry(kFamilies)
{
}

void
NodeMetrics::Observe(const Event& aEvent,
                     std::span<const Action> aActions,
                     Instant aNow)
{
  std::visit([&](const auto& aTyped) { Count(aTyped, aNow); }, aEvent);
  for (const Action& action : aActions) {
    if (const auto* forward = std::get_if<ForwardCall>(&action)) {
      CountForward(*forward, !IsNewCall(aEvent));
    } else {
      std::visit([&](const auto& aTyped) { Count(aTyped, aNow); }, action);
    }
  }
}

std::string
NodeMetrics::Write(const NodeStatus& aStatus) const
{
  const ProcessUsage usage = ReadProcessUsage();
  const auto number = [](auto aValue) { return static_cast<double>(aValue); };
  std::vector<GaugeValue> gauges = {
    { GateRunning, {}, number(aStatus.m_running) },
    { GateWaiting, {}, number(aStatus.m_waiting) },
    { GateLevel, {}, number(aStatus.m_level) },
    { GateSlots, {}, number(aStatus.m_server.m_slots) },
    { EntryCalls, {}, number(aStatus.m_entryCalls) },
    { KnownNodes, {}, number(aStatus.m_knownNodes) },
    { ConfigurationGeneration, {}, number(aStatus.m_generation) },
    { ProcessorSeconds, {}, number(usage.m_processor.count()) / 1e6 },
    { ResidentBytes, {}, number(usage.m_residentBytes) },
    { Threads, {}, number(usage.m_threads) },
  };
  for (const auto& [service, count] : aStatus.m_hosts) {
    gauges.push_back({ KnownHosts, { { "service", service } }, number(count) });
  }
  return m_registry.Write(gauges);
}

NodeUsage
NodeMetrics::Usage() const
{
  return { ReadProcessUsage(), m_registry.Sum(ControlBytes) };
}

//==============================================================================
void
NodeMetrics::Count(const CustomerCall& aEvent, Instant aNow)
{
  StartTracking(
    aEvent.m_call,
    { aEvent.m_operation, Importance::Normal, "customer", aNow, {} });
}

void
NodeMetrics::Count(const ChildCall& aEvent, Instant aNow)
{
  StartTracking(aEvent.m_call,
                { aEvent.m_operation, Importance::Normal, "server", aNow, {} });
}

void
NodeMetrics::Count(const PeerCall& aEvent, Instant aNow)
{
  StartTracking(aEvent.m_call,
                { aEvent.m_header.m_operation,
                  aEvent.m_header.m_importance,
                  "gate",
                  aNow,
                  {} });
}

void
NodeMetrics::Count(const CallerDisconnected& aEvent, Instant /*aNow*/)
{
  m_registry.Add(CallersDisconnected, {});
  ShardOf(aEvent.m_call).WithLock([&](TrackedCalls& aCalls) {
    aCalls.erase(aEvent.m_call);
  });
}

void
NodeMetrics::Count(const AttemptFailed& aEvent, Instant /*aNow*/)
{
  const std::array<MetricLabel, 2> labels = {
    { { "sent", aEvent.m_sent ? "true" : "false" },
      { "timed_out", aEvent.m_timedOut ? "true" : "false" } }
  };
  m_registry.Add(AttemptFailures, labels);
}

void
NodeMetrics::Count(const WithdrawalAnswered& aEvent, Instant /*aNow*/)
{
  m_registry.Add(
    Withdrawals,
    std::array<MetricLabel, 1>{ { { "result", ToText(aEvent.m_result) } } });
}

void
NodeMetrics::Count(const ServerAnswered& aEvent, Instant aNow)
{
  CountServer(aEvent.m_call, "answered", aNow);
}

void
NodeMetrics::Count(const ServerFailed& aEvent, Instant aNow)
{
  CountServer(aEvent.m_call, aEvent.m_sent ? "failed" : "refused", aNow);
}

void
NodeMetrics::Count(const GossipReceived& aEvent, Instant /*aNow*/)
{
  m_registry.Add(GossipMessages,
                 std::array<MetricLabel, 1>{ { { "event", "arrived" } } });
  CountControl("rumour", "in", SizeOf(aEvent.m_message));
}

void
NodeMetrics::Count(const GossipAnswered& aEvent, Instant /*aNow*/)
{
  const std::string_view event = aEvent.m_message ? "answered" : "lost";
  m_registry.Add(GossipMessages,
                 std::array<MetricLabel, 1>{ { { "event", event } } });
  if (aEvent.m_message) {
    CountControl("rumour", "in", SizeOf(*aEvent.m_message));
  }
}

void
NodeMetrics::Count(const StoreAnswered& aEvent, Instant /*aNow*/)
{
  const std::array<MetricLabel, 2> labels = {
    { { "client", ToText(aEvent.m_call.m_client) },
      { "result", ResultOf(aEvent.m_answer) } }
  };
  m_registry.Add(StoreCalls, labels);
  CountControl("store", "in", EncodeStoreAnswer(aEvent.m_answer).size());
}

//==============================================================================
void
NodeMetrics::Count(const DispatchCall& aAction, Instant aNow)
{
  const auto arrived =
    ShardOf(aAction.m_call).WithLock([&](TrackedCalls& aCalls) {
      const auto found = aCalls.find(aAction.m_call);
      if (found == aCalls.end()) {
        return aNow;
      }
      found->second.m_dispatched = aNow;
      return found->second.m_arrived;
    });
  const std::array<MetricLabel, 1> labels = {
    { { "importance", ToText(aAction.m_header.m_importance) } }
  };
  m_registry.Observe(QueueSeconds, labels, aNow - arrived);
}

void
NodeMetrics::Count(const AnswerCall& aAction, Instant aNow)
{
  const auto tracked =
    ShardOf(aAction.m_call).WithLock([&](TrackedCalls& aCalls) {
      const auto found = aCalls.find(aAction.m_call);
      if (found == aCalls.end()) {
        return TrackedCall{ {}, {}, "untracked", aNow, {} };
      }
      TrackedCall call = std::move(found->second);
      aCalls.erase(found);
      return call;
    });
  std::vector<MetricLabel> labels = {
    { "at", tracked.m_arrivalPoint },
    { "service", tracked.m_operation.m_service },
    { "operation", tracked.m_operation.m_operation }
  };
  m_registry.Observe(CallSeconds, labels, aNow - tracked.m_arrived);
  if (tracked.m_arrivalPoint == "gate") {
    labels.push_back({ "importance", ToText(tracked.m_importance) });
  }
  labels.push_back({ "outcome", ToText(aAction.m_report.m_outcome) });
  labels.push_back({ "reason", ToText(aAction.m_report.m_reason) });
  m_registry.Add(CallsAnswered, labels);
}

void
NodeMetrics::Count(const SendGossip& aAction, Instant /*aNow*/)
{
  m_registry.Add(GossipMessages,
                 std::array<MetricLabel, 1>{ { { "event", "sent" } } });
  CountControl("rumour", "out", SizeOf(aAction.m_message));
}

void
NodeMetrics::Count(const AnswerGossip& aAction, Instant /*aNow*/)
{
  CountControl("rumour", "out", SizeOf(aAction.m_message));
}

void
NodeMetrics::Count(const CallStore& aAction, Instant /*aNow*/)
{
  CountControl("store", "out", EncodeStoreRequest(aAction.m_request).size());
}

//==============================================================================
void
NodeMetrics::CountForward(const ForwardCall& aAction, bool aRetry)
{
  const std::array<MetricLabel, 3> labels = {
    { { "service", aAction.m_header.m_operation.m_service },
      { "importance", ToText(aAction.m_header.m_importance) },
      { "retry", aRetry ? "true" : "false" } }
  };
  m_registry.Add(Attempts, labels);
}

void
NodeMetrics::CountServer(CallId aCall, std::string_view aResult, Instant aNow)
{
  const auto dispatched = ShardOf(aCall).WithLock([&](TrackedCalls& aCalls) {
    const auto found = aCalls.find(aCall);
    return found == aCalls.end() ? aNow : found->second.m_dispatched;
  });
  const std::array<MetricLabel, 1> labels = { { { "result", aResult } } };
  m_registry.Add(ServerResults, labels);
  m_registry.Observe(ServerSeconds, labels, aNow - dispatched);
}

void
NodeMetrics::CountControl(std::string_view aKind,
                          std::string_view aDirection,
                          std::size_t aBytes)
{
  const std::array<MetricLabel, 2> labels = { { { "kind", aKind },
                                                { "direction", aDirection } } };
  m_registry.Add(ControlBytes, labels, aBytes + kFramingBytes);
}

void
NodeMetrics::StartTracking(CallId aCall, TrackedCall aTracked)
{
  const std::array<MetricLabel, 3> labels = {
    { { "at", aTracked.m_arrivalPoint },
      { "service", aTracked.m_operation.m_service },
      { "operation", aTracked.m_operation.m_operation } }
  };
  m_registry.Add(CallsArrived, labels);
  ShardOf(aCall).WithLock([&](TrackedCalls& aCalls) {
    if (aCalls.size() < kMaxTrackedCalls) {
      aCalls.insert_or_assign(aCall, std::move(aTracked));
    }
  });
}

Guarded<NodeMetrics::TrackedCalls>&
NodeMetrics::ShardOf(CallId aCall)
{
  return m_trackedCalls.at(std::hash<CallId>{}(aCall) % kShardCount);
}

}
