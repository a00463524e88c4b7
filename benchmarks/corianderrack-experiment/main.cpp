/* Simulates both example meshes in virtual time under overload and faults, with
   the full policy, the naive policy, and with single mechanisms switched off.
 */

#include <atomic>
#include <charconv>
#include <thread>

#include <fmt/format.h>

#include "cr_Trial.h"
#include "cr_command/cr_command.h"

namespace {

constexpr std::size_t kThreads = 4;
constexpr std::string_view kDefaultFolder = "examples";

struct PlannedTrial
{
  const cr::Deployment* m_deployment = nullptr;
  cr::TrialScenario m_scenario;
  cr::NamedPolicy m_policy;
  cr::TrialResult m_result;
};

struct Measure
{
  std::string m_name;
  double m_value = 0.0;
  std::string m_unit;
  double m_target = 0.0;
  bool m_isUpperBound = false;

  bool MeetsTarget() const
  {
    return m_isUpperBound ? m_value <= m_target : m_value >= m_target;
  }
};

const cr::CommandDescription&
Description()
{
  static const cr::CommandDescription description{
    "corianderrack-experiment",
    "",
    { { "scenario", 's', "Run one scenario only", "NAME" },
      { "policy",
        'p',
        "full, naive, no-..., or all; default full and naive",
        "NAME" },
      { "seed", 'n', "Seed of arrivals and choices, default 1", "NUMBER" },
      { "examples",
        'e',
        "Folder of the service files, default examples",
        "FOLDER" },
      { "json", 'j', "Print one JSON object a line", "" } }
  };
  return description;
}

int
Fail(const std::string& aText)
{
  fmt::print(stderr, "corianderrack-experiment: {}\n", aText);
  return cr::kExitUsage;
}

bool
IsSelected(const cr::Command& aCommand, const cr::NamedPolicy& aPolicy)
{
  const std::string selected = aCommand.Value("policy");
  if (selected.empty()) {
    return aPolicy.m_name == "full" || aPolicy.m_name == "naive";
  }
  return selected == "all" || selected == aPolicy.m_name;
}

std::vector<PlannedTrial>
Plan(const cr::Command& aCommand,
     const std::vector<cr::Deployment>& aDeployments)
{
  std::vector<PlannedTrial> plan;
  const std::string selected = aCommand.Value("scenario");
  for (const cr::Deployment& deployment : aDeployments) {
    for (const cr::TrialScenario& scenario : cr::AllScenarios()) {
      for (const cr::NamedPolicy& policy : cr::AllPolicies()) {
        if (IsSelected(aCommand, policy) &&
            (selected.empty() || selected == scenario.m_name)) {
          plan.push_back({ &deployment, scenario, policy, {} });
        }
      }
    }
  }
  return plan;
}

void
RunAll(std::vector<PlannedTrial>& aPlan, std::uint64_t aSeed)
{
  std::atomic<std::size_t> next = 0;
  std::vector<std::thread> threads;
  for (std::size_t thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&] {
      for (std::size_t index = next++; index < aPlan.size(); index = next++) {
        PlannedTrial& planned = aPlan.at(index);
        planned.m_result = cr::RunTrial(*planned.m_deployment,
                                        planned.m_scenario,
                                        planned.m_policy.m_switches,
                                        aSeed);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

std::vector<Measure>
MeasuresOf(const PlannedTrial& aPlanned)
{
  constexpr double goodputTarget = 0.9;
  constexpr double protectedTarget = 0.99;
  constexpr double wastedTarget = 0.05;
  constexpr double recoveryTarget = 2.0;
  const cr::TrialResult& result = aPlanned.m_result;
  std::vector<Measure> measures;
  const auto add = [&](const std::string& aName,
                       double aValue,
                       const std::string& aUnit,
                       double aTarget,
                       bool aIsUpperBound) {
    measures.push_back({ fmt::format("{}.{}.{}.{}",
                                     aPlanned.m_deployment->m_name,
                                     aPlanned.m_scenario.m_name,
                                     aPlanned.m_policy.m_name,
                                     aName),
                         aValue,
                         aUnit,
                         aTarget,
                         aIsUpperBound });
  };
  if (!result.m_recoverySeconds) {
    add("goodput", result.m_goodput, "share", goodputTarget, false);
  }
  add("protected", result.m_protected, "share", protectedTarget, false);
  add("wasted", result.m_wasted, "share", wastedTarget, true);
  add("over-attempts",
      static_cast<double>(result.m_overAttempts),
      "requests",
      0.0,
      true);
  add(
    "inversions", static_cast<double>(result.m_inversions), "calls", 0.0, true);
  if (result.m_recoverySeconds) {
    add("recovery", *result.m_recoverySeconds, "s", recoveryTarget, true);
  }
  return measures;
}

bool
Print(const Measure& aMeasure, bool aAsJson)
{
  const std::string_view resultText = aMeasure.MeetsTarget() ? "pass" : "fail";
  if (aAsJson) {
    fmt::print("{{\"name\":\"{}\",\"value\":{:.4f},\"unit\":\"{}\","
               "\"target\":{},\"verdict\":\"{}\"}}\n",
               aMeasure.m_name,
               aMeasure.m_value,
               aMeasure.m_unit,
               aMeasure.m_target,
               resultText);
  } else {
    fmt::print("{} {:.4f} {} {} {}\n",
               aMeasure.m_name,
               aMeasure.m_value,
               aMeasure.m_unit,
               aMeasure.m_target,
               resultText);
  }
  return aMeasure.MeetsTarget();
}

}

int
main(int aCount, char** aArguments)
{
  const auto command = cr::ParseCommand(
    { aArguments, static_cast<std::size_t>(aCount) }, Description());
  if (!command) {
    return Fail(command.error().m_text);
  }
  const std::string seedText = command->Value("seed", "1");
  std::uint64_t seed = 0;
  const char* end = seedText.data() + seedText.size();
  if (std::from_chars(seedText.data(), end, seed).ptr != end) {
    return Fail("--seed must be a number");
  }
  const auto deployments =
    cr::ReadDeployments(command->Value("examples", kDefaultFolder));
  if (!deployments) {
    return Fail(deployments.error().m_text);
  }
  std::vector<PlannedTrial> plan = Plan(*command, *deployments);
  if (plan.empty()) {
    return Fail("no such scenario or policy");
  }
  RunAll(plan, seed);
  bool passed = true;
  for (const PlannedTrial& planned : plan) {
    for (const Measure& measure : MeasuresOf(planned)) {
      const bool passes = Print(measure, command->Has("json"));
      passed = passed && (passes || planned.m_policy.m_name != "full");
    }
  }
  return passed ? cr::kExitOk : cr::kExitFailure;
}
