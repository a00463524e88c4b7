#include <algorithm>

#include <fmt/format.h>

#include "cr_ResultWriter.h"

namespace cr {

namespace {

/* Targets of the project; docs/MEASURES.md lists them. */
constexpr double kLeastGoodputPercent = 90;
constexpr double kLeastProtectedPercent = 99;
constexpr double kMostWastedPercent = 5;
constexpr double kMostRecoveryMs = 2000;
constexpr double kMostControlBytes = 4096;
constexpr double kMostProcessorPercent = 2.9;
constexpr double kMostMemoryMib = 256;
constexpr double kBytesPerMib = 1024 * 1024;
constexpr double kPercent = 100;
/** Deaths that one request may cause: its first run and one more. */
constexpr double kMostCrashesPerRequest = 2;

struct Context
{
  const Scenario& m_scenario;
  const Configuration& m_configuration;
  const LoadResult& m_result;
};

Measure
AtLeast(double aValue, std::string aUnit, double aBound)
{
  return {
    {}, aValue, std::move(aUnit), fmt::format(">={}", aBound), aValue >= aBound
  };
}

Measure
AtMost(double aValue, std::string aUnit, double aBound)
{
  return {
    {}, aValue, std::move(aUnit), fmt::format("<={}", aBound), aValue <= aBound
  };
}

/* Runs that one whole request of the operation takes: all, or of a service. */
double
RunsOf(const Configuration& aConfiguration,
       const OperationName& aOperation,
       std::string_view aService)
{
  const OperationDescription* operation = aConfiguration.Find(aOperation);
  if (operation == nullptr) {
    return 0;
  }
  double runs = aService.empty() || aOperation.m_service == aService ? 1 : 0;
  for (const CalledOperation& call : operation->m_calls) {
    runs += RunsOf(aConfiguration, call.m_name, aService);
  }
  return runs;
}

bool
IsTriggered(const Scenario& aScenario, std::size_t aSlice)
{
  const Duration at = kSlice * static_cast<Duration::rep>(aSlice);
  return at >= aScenario.FirstTriggerStart() && at < aScenario.LastTriggerEnd();
}

/* Runs of the bottleneck for whole requests, in percent of the smaller of what
   was asked for and what the slots can run, while triggers are active. */
Measure
BottleneckGoodput(const Context& aContext)
{
  double completed = 0;
  double asked = 0;
  for (const auto& [operation, stream] : aContext.m_result.m_streams) {
    const double runs = RunsOf(
      aContext.m_configuration, operation, aContext.m_scenario.m_bottleneck);
    for (std::size_t slice = 0; slice < stream.m_slices.size(); ++slice) {
      if (IsTriggered(aContext.m_scenario, slice)) {
        const LoadSlice& counts = stream.m_slices.at(slice);
        completed += runs * static_cast<double>(counts.m_completed);
        asked += runs * static_cast<double>(counts.m_arrived);
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
    std::min(asked, perSecond * static_cast<double>(span.count()) / 1e6);
  return AtLeast(possible > 0 ? kPercent * completed / possible : 0,
                 "%",
                 kLeastGoodputPercent);
}

/* Requests of protected operations that arrived while triggers were active and
   completed. */
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
  return AtLeast(arrived > 0 ? kPercent * completed / arrived : 0,
                 "%",
                 kLeastProtectedPercent);
}

Measure
Recovery(const Context& aContext)
{
  auto completed = CompletedBySlice(aContext.m_result.m_streams);
  const auto length =
    static_cast<std::size_t>(aContext.m_scenario.m_length / kSlice);
  completed.resize(std::min(completed.size(), length));
  const auto recovery = RecoveryTime(completed,
                                     aContext.m_scenario.FirstTriggerStart(),
                                     aContext.m_scenario.LastTriggerEnd());
  if (!recovery) {
    const Duration rest =
      aContext.m_scenario.m_length - aContext.m_scenario.LastTriggerEnd();
    Measure never = AtMost(
      static_cast<double>(ToMilliseconds(rest)), "ms-or-more", kMostRecoveryMs);
    never.m_pass = false;
    return never;
  }
  return AtMost(
    static_cast<double>(ToMilliseconds(*recovery)), "ms", kMostRecoveryMs);
}

Measure
WastedRuns(const Context& aContext)
{
  double useful = 0;
  for (const auto& [operation, stream] : aContext.m_result.m_streams) {
    useful += RunsOf(aContext.m_configuration, operation, {}) *
              static_cast<double>(stream.Count(RequestEnd::Completed));
  }
  const auto runs = static_cast<double>(aContext.m_result.m_servers.m_runs);
  return AtMost(runs > 0 ? kPercent * std::max(runs - useful, 0.0) / runs : 0,
                "%",
                kMostWastedPercent);
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
  return AtLeast(requests > 0 ? kPercent * completed / requests : 0,
                 "%",
                 kLeastProtectedPercent);
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
TakeMeasure(const std::string& aName, const Context& aContext)
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
    return AtMost(Total(aContext, RequestEnd::Wrong), "requests", 0);
  }
  if (aName == "second_runs") {
    return AtMost(static_cast<double>(servers.m_doubleRuns), "runs", 0);
  }
  if (aName == "runs_after_leave") {
    return AtMost(static_cast<double>(servers.m_runsAfterLeave), "runs", 0);
  }
  if (aName == "server_crashes") {
    return AtMost(static_cast<double>(servers.m_crashes),
                  "crashes",
                  kMostCrashesPerRequest * CrashRequests(aContext.m_scenario));
  }
  if (aName == "idle_control_bytes") {
    return AtMost(idle.m_controlBytesPerSecond, "B/s", kMostControlBytes);
  }
  if (aName == "idle_processor") {
    return AtMost(
      kPercent * idle.m_processorShare, "%-of-a-core", kMostProcessorPercent);
  }
  if (aName == "loaded_control_bytes") {
    return AtMost(aContext.m_result.m_loaded.m_controlBytesPerSecond,
                  "B/s",
                  kMostControlBytes);
  }
  if (aName == "loaded_memory") {
    return AtMost(
      static_cast<double>(aContext.m_result.m_loaded.m_greatestResidentBytes) /
        kBytesPerMib,
      "MiB",
      kMostMemoryMib);
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
TakeMeasures(const Scenario& aScenario,
             const Configuration& aConfiguration,
             const LoadResult& aResult)
{
  const Context context{ aScenario, aConfiguration, aResult };
  std::vector<Measure> measures;
  for (const std::string& name : aScenario.m_measures) {
    measures.push_back(TakeMeasure(name, context));
    measures.back().m_name = aScenario.m_name + '.' + name;
  }
  return measures;
}

}
