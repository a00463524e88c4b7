#include <algorithm>

#include <fmt/format.h>

#include "cr_ResultWriter.h"

namespace cr {

namespace {

/* Targets of the project; docs/MEASURES.md lists them. */
constexpr double kMinGoodputPercent = 90;
constexpr double kMinProtectedPercent = 99;
constexpr double kMaxWastedPercent = 5;
constexpr double kMaxRecoveryMs = 2000;
constexpr double kMaxControlBytes = 4096;
constexpr double kMaxProcessorPercent = 2.9;
constexpr double kMaxMemoryMib = 256;
constexpr double kBytesPerMib = 1024 * 1024;
constexpr double kPercent = 100;
/** Server crashes that one request may cause: its first run and one retry. */
constexpr double kMaxCrashesPerRequest = 2;

struct Context
{
  const Scenario& m_scenario;
  const Configuration& m_configuration;
  const LoadResult& m_result;
};

Measure
LowerBoundMeasure(double aValue, std::string aUnit, double aBound)
{
  return {
    {}, aValue, std::move(aUnit), fmt::format(">={}", aBound), aValue >= aBound
  };
}

Measure
UpperBoundMeasure(double aValue, std::string aUnit, double aBound)
{
  return {
    {}, aValue, std::move(aUnit), fmt::format("<={}", aBound), aValue <= aBound
  };
}

/* Returns the number of server runs in the call tree of one request of the
   operation, on the given service or on all if aService is empty. */
double
CallTreeRuns(const Configuration& aConfiguration,
             const OperationName& aOperation,
             std::string_view aService)
{
  const OperationDescription* operation = aConfiguration.Find(aOperation);
  if (operation == nullptr) {
    return 0;
  }
  double runs = aService.empty() || aOperation.m_service == aService ? 1 : 0;
  for (const CalledOperation& call : operation->m_calls) {
    runs += CallTreeRuns(aConfiguration, call.m_name, aService);
  }
  return runs;
}

bool
IsTriggered(const Scenario& aScenario, std::size_t aSlice)
{
  const Duration at = kSliceLength * static_cast<Duration::rep>(aSlice);
  return at >= aScenario.FirstTriggerStart() && at < aScenario.LastTriggerEnd();
}

/* Bottleneck runs for completed requests while triggers are active, in percent
   of the offered load or of the slots' capacity, whichever is less. */
Measure
BottleneckGoodput(const Context& aContext)
{
  double completed = 0;
  double requested = 0;
  for (const auto& [operation, stream] : aContext.m_result.m_streams) {
    const double runs = CallTreeRuns(
      aContext.m_configuration, operation, aContext.m_scenario.m_bottleneck);
    for (std::size_t slice = 0; slice < stream.m_slices.size(); ++slice) {
      if (IsTriggered(aContext.m_scenario, slice)) {
        const LoadSlice& counts = stream.m_slices.at(slice);
        completed += runs * static_cast<double>(counts.m_completed);
        requested += runs * static_cast<double>(counts.m_arrived);
      }
    }
  }
  double perSecond = 0;
  for (const ScenarioHost& host : aContext.m_scenario.m_hosts) {
    if (host.m_service == aContext.m_scenario.m_bottleneck) {
      perSecond += static_cast<double>(host.m_slots) * 1e6 /
                   static_cast<double>(host.m_serviceTime.count());
    }
  }
  const Duration span = aContext.m_scenario.LastTriggerEnd() -
                        aContext.m_scenario.FirstTriggerStart();
  const double possible =
    std::min(requested, perSecond * static_cast<double>(span.count()) / 1e6);
  return LowerBoundMeasure(possible > 0 ? kPercent * completed / possible : 0,
                           "%",
                           kMinGoodputPercent);
}

/* Share of completed requests among those of protected operations that arrived
   while triggers were active. */
Measure
ProtectedShare(const Context& aContext)
{
  double arrived = 0;
  double completed = 0;
  for (const auto& [operation, stream] : aContext.m_result.m_streams) {
    const auto* description = aContext.m_configuration.Find(operation);
    if (description == nullptr ||
        description->m_importance != Importance::Protected) {
      continue;
    }
    for (std::size_t slice = 0; slice < stream.m_slices.size(); ++slice) {
      if (IsTriggered(aContext.m_scenario, slice)) {
        const LoadSlice& counts = stream.m_slices.at(slice);
        arrived += static_cast<double>(counts.m_arrived);
        completed += static_cast<double>(counts.m_arrivedCompleted);
      }
    }
  }
  return LowerBoundMeasure(arrived > 0 ? kPercent * completed / arrived : 0,
                           "%",
                           kMinProtectedPercent);
}

Measure
Recovery(const Context& aContext)
{
  auto completed = CompletedBySlice(aContext.m_result.m_streams);
  const auto length =
    static_cast<std::size_t>(aContext.m_scenario.m_length / kSliceLength);
  completed.resize(std::min(completed.size(), length));
  const auto recovery = RecoveryTime(completed,
                                     aContext.m_scenario.FirstTriggerStart(),
                                     aContext.m_scenario.LastTriggerEnd());
  if (!recovery) {
    const Duration rest =
      aContext.m_scenario.m_length - aContext.m_scenario.LastTriggerEnd();
    Measure never = UpperBoundMeasure(
      static_cast<double>(ToMilliseconds(rest)), "ms-or-more", kMaxRecoveryMs);
    never.m_pass = false;
    return never;
  }
  return UpperBoundMeasure(
    static_cast<double>(ToMilliseconds(*recovery)), "ms", kMaxRecoveryMs);
}

Measure
WastedRuns(const Context& aContext)
{
  double useful = 0;
  for (const auto& [operation, stream] : aContext.m_result.m_streams) {
    useful += CallTreeRuns(aContext.m_configuration, operation, {}) *
              static_cast<double>(stream.Count(RequestEnd::Completed));
  }
  const auto runs = static_cast<double>(aContext.m_result.m_servers.m_runs);
  return UpperBoundMeasure(
    runs > 0 ? kPercent * std::max(runs - useful, 0.0) / runs : 0,
    "%",
    kMaxWastedPercent);
}

double
Total(const Context& aContext, RequestEnd aEnd)
{
  double total = 0;
  for (const auto& [operation, stream] : aContext.m_result.m_streams) {
    total += static_cast<double>(stream.Count(aEnd));
  }
  return total;
}

Measure
CompletedShare(const Context& aContext)
{
  double requests = 0;
  for (const auto& [operation, stream] : aContext.m_result.m_streams) {
    requests += static_cast<double>(stream.Requests());
  }
  const double completed = Total(aContext, RequestEnd::Completed);
  return LowerBoundMeasure(requests > 0 ? kPercent * completed / requests : 0,
                           "%",
                           kMinProtectedPercent);
}

double
CrashRequests(const Scenario& aScenario)
{
  double requests = 0;
  for (const Trigger& trigger : aScenario.m_triggers) {
    if (const auto* crashes =
          std::get_if<CrashRequestsTrigger>(&trigger.m_kind)) {
      requests += static_cast<double>(crashes->m_count);
    }
  }
  return requests;
}

Measure
ComputeMeasure(const std::string& aName, const Context& aContext)
{
  const ServerFleetRecord& servers = aContext.m_result.m_servers;
  const FleetUsage& idle = aContext.m_result.m_idle;
  if (aName == "goodput") {
    return BottleneckGoodput(aContext);
  }
  if (aName == "protected") {
    return ProtectedShare(aContext);
  }
  if (aName == "recovery") {
    return Recovery(aContext);
  }
  if (aName == "wasted_runs") {
    return WastedRuns(aContext);
  }
  if (aName == "completed") {
    return CompletedShare(aContext);
  }
  if (aName == "wrong_answers") {
    return UpperBoundMeasure(Total(aContext, RequestEnd::Wrong), "requests", 0);
  }
  if (aName == "second_runs") {
    return UpperBoundMeasure(
      static_cast<double>(servers.m_doubleRuns), "runs", 0);
  }
  if (aName == "runs_after_leave") {
    return UpperBoundMeasure(
      static_cast<double>(servers.m_runsAfterLeave), "runs", 0);
  }
  if (aName == "server_crashes") {
    return UpperBoundMeasure(static_cast<double>(servers.m_crashes),
                             "crashes",
                             kMaxCrashesPerRequest *
                               CrashRequests(aContext.m_scenario));
  }
  if (aName == "idle_control_bytes") {
    return UpperBoundMeasure(
      idle.m_controlBytesPerSecond, "B/s", kMaxControlBytes);
  }
  if (aName == "idle_processor") {
    return UpperBoundMeasure(
      kPercent * idle.m_processorShare, "%-of-a-core", kMaxProcessorPercent);
  }
  if (aName == "loaded_control_bytes") {
    return UpperBoundMeasure(aContext.m_result.m_loaded.m_controlBytesPerSecond,
                             "B/s",
                             kMaxControlBytes);
  }
  if (aName == "loaded_memory") {
    return UpperBoundMeasure(
      static_cast<double>(aContext.m_result.m_loaded.m_maxResidentBytes) /
        kBytesPerMib,
      "MiB",
      kMaxMemoryMib);
  }
  return { {}, 0, "no-such-measure", "none", false };
}

}

std::string
ToText(const Measure& aMeasure)
{
  return fmt::format("{} {:.2f} {} {} {}",
                     aMeasure.m_name,
                     aMeasure.m_value,
                     aMeasure.m_unit,
                     aMeasure.m_target,
                     aMeasure.m_pass ? "pass" : "fail");
}

std::vector<Measure>
ComputeMeasures(const Scenario& aScenario,
                const Configuration& aConfiguration,
                const LoadResult& aResult)
{
  const Context context{ aScenario, aConfiguration, aResult };
  std::vector<Measure> measures;
  for (const std::string& name : aScenario.m_measures) {
    measures.push_back(ComputeMeasure(name, context));
    measures.back().m_name = aScenario.m_name + '.' + name;
  }
  return measures;
}

}
