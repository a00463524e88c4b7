/* The node process, which runs on each host that has a backend server. */

#include <csignal>

#include <fmt/format.h>

#include "cr_command/cr_command.h"
#include "cr_process/cr_process.h"
#include "cr_transport/cr_transport.h"

namespace {

const cr::CommandDescription&
ProgramDescription()
{
  static const cr::CommandDescription description{
    "corianderrack-node",
    "",
    { { "settings", 's', "Settings of the node, JSON with comments", "FILE" },
      { "check", 'c', "Check the settings and exit", "" } }
  };
  return description;
}

/* The signals must be blocked in all threads, so that only sigwait() receives
   them. */
int
WaitForSignal(const sigset_t& aSignals)
{
  int signal = 0;
  sigwait(&aSignals, &signal);
  return signal;
}

int
Serve(const cr::NodeSettings& aSettings)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const auto incarnation =
    cr::Incarnation{ static_cast<std::uint64_t>(cr::IoThreads::WallNow()) };
  cr::NodeServer server(aSettings, incarnation);
  if (const auto started = server.Start(); !started) {
    return cr::Fail(
      ProgramDescription(), cr::kExitFailure, started.error().m_text);
  }
  cr::Log("node",
          fmt::format("{} serves on {} ports {}, {} and {}",
                      aSettings.m_host,
                      aSettings.m_address,
                      aSettings.m_callerPort,
                      aSettings.m_peerPort,
                      aSettings.m_operatorPort));
  WaitForSignal(signals);
  const std::size_t cutOff = server.Shutdown();
  cr::Log("node", fmt::format("ended; {} calls were cut off", cutOff));
  return cutOff == 0 ? cr::kExitOk : cr::kExitFailure;
}

}

int
main(int aCount, char** aArguments)
{
  cr::ReturnLargeBlocksAtOnce();
  const auto command = cr::ParseCommand(
    { aArguments, static_cast<std::size_t>(aCount) }, ProgramDescription());
  if (!command) {
    return cr::Fail(
      ProgramDescription(), cr::kExitUsage, command.error().m_text);
  }
  if (!command->Has("settings") || !command->m_operands.empty()) {
    return cr::Fail(ProgramDescription(),
                    cr::kExitUsage,
                    "--settings FILE is needed, and nothing else");
  }
  const std::string file = command->Value("settings");
  const auto text = cr::ReadTextFile(file);
  if (!text) {
    return cr::Fail(ProgramDescription(), cr::kExitUsage, text.error().m_text);
  }
  cr::Findings findings;
  const cr::NodeSettings settings =
    cr::ParseNodeSettings(file, *text, findings);
  if (!findings.empty()) {
    fmt::print(stderr, "{}", cr::ToText(findings));
    return cr::kExitUsage;
  }
  return command->Has("check") ? cr::kExitOk : Serve(settings);
}
