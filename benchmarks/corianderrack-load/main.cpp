/* Runs a load experiment against nodes on loopback. */

#include <filesystem>
#include <fstream>

#include <fmt/format.h>

#include "cr_LoadRun.h"
#include "cr_command/cr_command.h"
#include "cr_configuration/cr_configuration.h"

namespace {

constexpr cr::Duration kReadyLimit = cr::Seconds(30);

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
        "FOLDER" } }
  };
  return description;
}

int
Fail(int aCode, const std::string& aText)
{
  fmt::print(stderr, "corianderrack-load: {}\n", aText);
  return aCode;
}

int
WriteSettings(const cr::Scenario& aScenario, const std::string& aFolder)
{
  std::filesystem::create_directories(aFolder);
  for (const cr::ScenarioHost& host : aScenario.m_hosts) {
    const std::string path = aFolder + "/" + host.m_host + ".json";
    std::ofstream file(path);
    file << cr::WriteNodeSettings(aScenario, host) << '\n';
    if (!file) {
      return Fail(cr::kExitFailure, "cannot write " + path);
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

std::int64_t
Percentile(std::vector<cr::Duration> aLatencies, std::size_t aPercent)
{
  if (aLatencies.empty()) {
    return 0;
  }
  std::sort(aLatencies.begin(), aLatencies.end());
  return aLatencies.at((aLatencies.size() - 1) * aPercent / 100).count();
}

bool
PrintResult(const cr::LoadResult& aResult, std::uint64_t aDoubleRuns)
{
  bool whole = true;
  fmt::print("{:<26}{:>7}{:>10}{:>9}{:>9}{:>7}{:>9}{:>9}\n",
             "operation",
             "sent",
             "completed",
             "not run",
             "unknown",
             "wrong",
             "p50 us",
             "p99 us");
  for (const auto& [operation, stream] : aResult) {
    fmt::print("{:<26}{:>7}{:>10}{:>9}{:>9}{:>7}{:>9}{:>9}\n",
               cr::ToText(operation),
               stream.m_sent,
               stream.m_completed,
               stream.m_notRun,
               stream.m_unknown + stream.m_noAnswer,
               stream.m_wrong + stream.m_failed,
               Percentile(stream.m_latencies, 50),
               Percentile(stream.m_latencies, 99));
    whole = whole && stream.m_sent > 0 && stream.m_completed == stream.m_sent;
  }
  fmt::print("second runs of an idempotency key: {}\n", aDoubleRuns);
  return whole && aDoubleRuns == 0 && !aResult.empty();
}

int
Run(cr::Scenario aScenario, cr::Configuration aConfiguration)
{
  cr::LoadRun run(std::move(aScenario), std::move(aConfiguration));
  if (const auto started = run.StartStandIns(); !started) {
    return Fail(cr::kExitFailure, started.error().m_text);
  }
  if (const auto ready = run.WaitForNodes(kReadyLimit); !ready) {
    return Fail(cr::kExitFailure, ready.error().m_text);
  }
  const cr::LoadResult result = run.SendLoad();
  if (PrintResult(result, run.DoubleRuns())) {
    fmt::print("all whole requests completed\n");
    return cr::kExitOk;
  }
  return Fail(cr::kExitFailure, "not every request completed whole");
}

}

int
main(int aCount, char** aArguments)
{
  const auto command = cr::ParseCommand(
    { aArguments, static_cast<std::size_t>(aCount) }, Description());
  if (!command) {
    return Fail(cr::kExitUsage, command.error().m_text);
  }
  const std::string file = command->Value("scenario");
  const auto text = cr::ReadTextFile(file);
  if (!text) {
    return Fail(cr::kExitUsage, text.error().m_text);
  }
  cr::Findings findings;
  cr::Scenario scenario = cr::ParseScenario(file, *text, findings);
  cr::Configuration configuration = ReadConfiguration(file, scenario, findings);
  if (!findings.empty()) {
    fmt::print(stderr, "{}", cr::ToText(findings));
    return cr::kExitUsage;
  }
  if (command->Has("write-settings")) {
    return WriteSettings(scenario, command->Value("write-settings"));
  }
  return Run(std::move(scenario), std::move(configuration));
}
