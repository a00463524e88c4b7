/* Runs a load experiment against nodes on loopback. */

#include <filesystem>
#include <fstream>

#include <fmt/format.h>

#include "cr_LoadRun.h"
#include "cr_ResultWriter.h"
#include "cr_command/cr_command.h"
#include "cr_configuration/cr_configuration.h"

namespace {

constexpr cr::Duration kReadyTimeout = cr::Seconds(30);

const cr::CommandDescription&
Description()
{
  static const cr::CommandDescription description{
    "corianderrack-load",
    "",
    { { "scenario", 's', "The experiment, JSON with comments", "FILE" },
      { "write-settings",
        'w',
        "Write the settings of each host's node and end",
        "FOLDER" },
      { "result", 'r', "Write the time series as JSON", "FILE" } }
  };
  return description;
}

int
WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream file(aPath);
  file << aText << '\n';
  file.close();
  return file
           ? cr::kExitOk
           : cr::Fail(Description(), cr::kExitFailure, "cannot write " + aPath);
}

int
WriteSettings(const cr::Scenario& aScenario, const std::string& aFolder)
{
  std::filesystem::create_directories(aFolder);
  for (const cr::ScenarioHost& host : aScenario.m_hosts) {
    const std::string path = aFolder + "/" + host.m_host + ".json";
    const int code = WriteFile(path, cr::WriteNodeSettings(aScenario, host));
    if (code != cr::kExitOk) {
      return code;
    }
  }
  return cr::kExitOk;
}

cr::Configuration
ReadConfiguration(const std::string& aScenarioFile,
                  const cr::Scenario& aScenario,
                  cr::Findings& aFindings)
{
  std::vector<cr::ServiceDescription> services;
  const auto folder = std::filesystem::path(aScenarioFile).parent_path();
  for (const std::string& name : aScenario.m_serviceFiles) {
    const std::string path = (folder / name).lexically_normal().string();
    const auto text = cr::ReadTextFile(path);
    if (!text) {
      aFindings.push_back({ { path, 1, 1 }, text.error().m_text });
      continue;
    }
    services.push_back(cr::ParseServiceFile(path, *text, aFindings));
  }
  return cr::BuildConfiguration(1, services, aFindings);
}

/* Returns whether every request completed and no idempotency key ran twice, as
   is required in a scenario without triggers. */
bool
AllRequestsCompleted(const cr::LoadResult& aResult)
{
  bool allCompleted = !aResult.m_streams.empty();
  for (const auto& [operation, stream] : aResult.m_streams) {
    allCompleted = allCompleted &&
                   stream.Count(cr::RequestEnd::Completed) == stream.Requests();
  }
  return allCompleted && aResult.m_servers.m_doubleRuns == 0;
}

int
Run(const cr::Scenario& aScenario,
    const cr::Configuration& aConfiguration,
    const std::string& aResultFile)
{
  cr::LoadRun run(aScenario, aConfiguration);
  if (const auto started = run.StartStandIns(); !started) {
    return cr::Fail(Description(), cr::kExitFailure, started.error().m_text);
  }
  if (const auto ready = run.WaitForNodes(kReadyTimeout); !ready) {
    return cr::Fail(Description(), cr::kExitFailure, ready.error().m_text);
  }
  const cr::LoadResult result = run.SendLoad();
  const auto measures = cr::ComputeMeasures(aScenario, aConfiguration, result);
  fmt::print("{}", cr::WriteTable(result));
  for (const cr::Measure& measure : measures) {
    fmt::print("{}\n", cr::ToText(measure));
  }
  if (!aResultFile.empty()) {
    const int code =
      WriteFile(aResultFile, cr::WriteResult(aScenario, result, measures));
    if (code != cr::kExitOk) {
      return code;
    }
  }
  if (!aScenario.m_triggers.empty() || !measures.empty()) {
    return cr::kExitOk;
  }
  if (!AllRequestsCompleted(result)) {
    return cr::Fail(
      Description(), cr::kExitFailure, "not every request completed whole");
  }
  fmt::print("all whole requests completed\n");
  return cr::kExitOk;
}

}

int
main(int aCount, char** aArguments)
{
  const auto command = cr::ParseCommand(
    { aArguments, static_cast<std::size_t>(aCount) }, Description());
  if (!command) {
    return cr::Fail(Description(), cr::kExitUsage, command.error().m_text);
  }
  const std::string file = command->Value("scenario");
  const auto text = cr::ReadTextFile(file);
  if (!text) {
    return cr::Fail(Description(), cr::kExitUsage, text.error().m_text);
  }
  cr::Findings findings;
  const cr::Scenario scenario = cr::ParseScenario(file, *text, findings);
  const cr::Configuration configuration =
    ReadConfiguration(file, scenario, findings);
  if (findings.empty()) {
    cr::CheckScenario(scenario, configuration, findings);
  }
  if (!findings.empty()) {
    fmt::print(stderr, "{}", cr::ToText(findings));
    return cr::kExitUsage;
  }
  if (command->Has("write-settings")) {
    return WriteSettings(scenario, command->Value("write-settings"));
  }
  return Run(scenario, configuration, command->Value("result"));
}
