/* Runs the platform stand-in as a process of its own. */

#include <csignal>

#include <fmt/format.h>

#include "cr_command/cr_command.h"
#include "platform_stand_in/platform_stand_in.h"

namespace {

const cr::CommandDescription&
ProgramDescription()
{
  static const cr::CommandDescription description{
    "stand-in-platform",
    "",
    { { "listen", 'l', "Address and port to listen on", "ADDRESS:PORT" } }
  };
  return description;
}

}

int
main(int aCount, char** aArguments)
{
  const auto command = cr::ParseCommand(
    { aArguments, static_cast<std::size_t>(aCount) }, ProgramDescription());
  if (!command) {
    return cr::Fail(
      ProgramDescription(), cr::kExitUsage, command.error().m_text);
  }
  const auto endpoint = cr::ParseEndpointText(command->Value("listen"));
  if (!endpoint) {
    return cr::Fail(
      ProgramDescription(), cr::kExitUsage, endpoint.error().m_text);
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  cr::IoThreads threads(2);
  cr::PlatformServer server(threads);
  if (const auto listening = server.Listen(*endpoint); !listening) {
    return cr::Fail(
      ProgramDescription(), cr::kExitFailure, listening.error().m_text);
  }
  int signal = 0;
  sigwait(&signals, &signal);
  threads.Stop();
  return cr::kExitOk;
}
