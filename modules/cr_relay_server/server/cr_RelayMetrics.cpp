#include "cr_relay_server/server/cr_RelayMetrics.h"

#include <array>

namespace cr {

namespace {

constexpr MetricId kRequests = 0;
constexpr MetricId kAnswers = 1;
constexpr MetricId kAnswerSeconds = 2;
constexpr MetricId kDispatches = 3;
constexpr MetricId kDispatchSeconds = 4;
constexpr MetricId kDecisions = 5;
constexpr MetricId kStoreCalls = 6;
constexpr MetricId kGeneration = 7;
constexpr MetricId kNodes = 8;
constexpr MetricId kRunning = 9;
constexpr MetricId kWaiting = 10;
constexpr MetricId kLimit = 11;
constexpr MetricId kLoad = 12;
constexpr MetricId kPlatformConnected = 13;
constexpr MetricId kReady = 14;
constexpr MetricId kResidentBytes = 15;
constexpr MetricId kLostLogLines = 16;
constexpr MetricId kReadDelaySeconds = 17;
constexpr MetricId kRefusals = 18;
constexpr MetricId kHeldBytes = 19;
constexpr MetricId kHeldBytesPeak = 20;
constexpr MetricId kHeldBytesLimit = 21;
constexpr MetricId kRoomShortages = 22;

constexpr std::array<MetricFamily, 23> kFamilies = { {
  { "corianderrack_relay_requests_total",
    "Requests that arrived",
    MetricKind::Counter },
  { "corianderrack_relay_answers_total",
    "Final answers by outcome and reason",
    MetricKind::Counter },
  { "corianderrack_relay_answer_seconds",
    "Time from a request to its answer",
    MetricKind::Histogram },
  { "corianderrack_relay_hand_overs_total",
    "Requests that ended at the backend server",
    MetricKind::Counter },
  { "corianderrack_relay_hand_over_seconds",
    "Time in the backend server",
    MetricKind::Histogram },
  { "corianderrack_relay_decisions_total",
    "Decisions by kind of log line",
    MetricKind::Counter },
  { "corianderrack_relay_store_calls_total",
    "Calls to the platform",
    MetricKind::Counter },
  { "corianderrack_relay_generation",
    "Configuration in force; 0 means none",
    MetricKind::Gauge },
  { "corianderrack_relay_known_nodes", "Nodes known", MetricKind::Gauge },
  { "corianderrack_relay_running",
    "Requests in the backend server",
    MetricKind::Gauge },
  { "corianderrack_relay_waiting",
    "Requests that wait for a slot",
    MetricKind::Gauge },
  { "corianderrack_relay_limit",
    "Requests that may run at once",
    MetricKind::Gauge },
  { "corianderrack_relay_load",
    "Offered load; 1 is what the server can run",
    MetricKind::Gauge },
  { "corianderrack_relay_platform_in_touch",
    "1 while the platform answers",
    MetricKind::Gauge },
  { "corianderrack_relay_ready",
    "1 while customers are welcome",
    MetricKind::Gauge },
  { "corianderrack_relay_resident_bytes",
    "Memory of the process",
    MetricKind::Gauge },
  { "corianderrack_relay_lost_log_lines",
    "Log lines that were not written",
    MetricKind::Gauge },
  { "corianderrack_relay_read_delay_seconds",
    "Time until the process reads from a readable descriptor",
    MetricKind::Histogram },
  { "corianderrack_relay_refusals_total",
    "Requests that this node refused as their entry, by reason and limit",
    MetricKind::Counter },
  { "corianderrack_relay_held_bytes",
    "Memory held for requests and answers",
    MetricKind::Gauge },
  { "corianderrack_relay_held_bytes_peak",
    "Most memory held for requests and answers at once",
    MetricKind::Gauge },
  { "corianderrack_relay_held_bytes_limit",
    "Memory that may be held for requests and answers",
    MetricKind::Gauge },
  { "corianderrack_relay_room_shortages",
    "Times that a request or an answer had no room to be read on",
    MetricKind::Gauge },
} };

std::string_view
StoreOperationLabel(const StoreRequest& aRequest)
{
  constexpr std::array<std::string_view, 6> names = { "transact", "scan",
                                                      "read",     "put",
                                                      "get",      "watch" };
  return names.at(aRequest.index());
}

std::string_view
StoreResultLabel(const StoreAnswer& aAnswer)
{
  if (std::holds_alternative<StoreFailed>(aAnswer)) {
    return "failed";
  }
  if (std::holds_alternative<StoreRefused>(aAnswer)) {
    return "refused";
  }
  return "answered";
}

}

RelayMetrics::RelayMetrics()
  : m_registry(kFamilies)
{
}

void
RelayMetrics::CountRequest(std::string_view aIngress)
{
  m_registry.Add(kRequests, std::array{ MetricLabel{ "at", aIngress } });
}

void
RelayMetrics::CountAnswer(std::string_view aIngress,
                          Outcome aOutcome,
                          Reason aReason,
                          Duration aDuration)
{
  m_registry.Add(kAnswers,
                 std::array{ MetricLabel{ "at", aIngress },
                             MetricLabel{ "outcome", ToText(aOutcome) },
                             MetricLabel{ "reason", ToText(aReason) } });
  m_registry.Observe(
    kAnswerSeconds, std::array{ MetricLabel{ "at", aIngress } }, aDuration);
}

void
RelayMetrics::CountRefusal(Reason aReason, std::string_view aLimit)
{
  m_registry.Add(kRefusals,
                 std::array{ MetricLabel{ "limit", aLimit },
                             MetricLabel{ "reason", ToText(aReason) } });
}

void
RelayMetrics::CountDispatch(DispatchResult aResult, Duration aDuration)
{
  const std::array labels{ MetricLabel{ "verdict", ToText(aResult) } };
  m_registry.Add(kDispatches, labels);
  m_registry.Observe(kDispatchSeconds, labels, aDuration);
}

void
RelayMetrics::CountDecision(std::string_view aEvent)
{
  m_registry.Add(kDecisions, std::array{ MetricLabel{ "event", aEvent } });
}

void
RelayMetrics::CountStore(const StoreRequest& aRequest,
                         const StoreAnswer& aAnswer)
{
  m_registry.Add(
    kStoreCalls,
    std::array{ MetricLabel{ "call", StoreOperationLabel(aRequest) },
                MetricLabel{ "result", StoreResultLabel(aAnswer) } });
}

void
RelayMetrics::ObserveReadDelay(Duration aDelay)
{
  m_registry.Observe(kReadDelaySeconds, {}, aDelay);
}

std::string
RelayMetrics::Write(const RelayStatus& aStatus,
                    const MemoryAccount& aAccount,
                    std::uint64_t aLostLogLines) const
{
  const auto number = [](auto aValue) { return static_cast<double>(aValue); };
  const std::array<GaugeValue, 14> gauges = { {
    { kGeneration, {}, number(aStatus.m_generation) },
    { kNodes, {}, number(aStatus.m_nodes) },
    { kRunning, {}, number(aStatus.m_running) },
    { kWaiting, {}, number(aStatus.m_waiting) },
    { kLimit, {}, number(aStatus.m_limit) },
    { kLoad, {}, aStatus.m_gateLoad },
    { kPlatformConnected, {}, number(aStatus.m_isPlatformReachable ? 1 : 0) },
    { kReady, {}, number(aStatus.m_isReady ? 1 : 0) },
    { kResidentBytes, {}, number(ReadProcessUsage().m_residentBytes) },
    { kLostLogLines, {}, number(aLostLogLines) },
    { kHeldBytes, {}, number(aAccount.Held()) },
    { kHeldBytesPeak, {}, number(aAccount.Peak()) },
    { kHeldBytesLimit, {}, number(aAccount.Limit()) },
    { kRoomShortages, {}, number(aAccount.Shortages()) },
  } };
  return m_registry.Write(gauges);
}

}
