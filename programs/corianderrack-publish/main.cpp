/* The publisher: checks service files together and puts them into force. */

#include <charconv>
#include <cstdlib>
#include <random>

#include <fmt/format.h>

#include "cr_command/cr_command.h"
#include "cr_configuration/cr_configuration.h"
#include "cr_transport/cr_transport.h"

namespace {

constexpr cr::Duration kStoreTimeout = cr::Seconds(5);

const cr::CommandDescription&
Description()
{
  static const cr::CommandDescription description{
    "corianderrack-publish",
    "SERVICE-FILE...",
    { { "platform", 'p', "Table service and object store", "ADDRESS:PORT" },
      { "operator", 'o', "Who publishes, for the audit trail", "NAME" },
      { "base", 'b', "Refuse if another generation is in force", "NUMBER" },
      { "remove", 'r', "Take a service out of force", "SERVICE" },
      { "publication",
        'i',
        "Identifier of an earlier, unsettled publication to repeat",
        "ID" } }
  };
  return description;
}

int
Fail(int aCode, const std::string& aText)
{
  fmt::print(stderr, "corianderrack-publish: {}\n", aText);
  return aCode;
}

std::string
NewPublicationId()
{
  std::random_device device;
  const auto word = [&device] {
    constexpr unsigned half = 32;
    return (static_cast<std::uint64_t>(device()) << half) | device();
  };
  const std::uint64_t high = word();
  return cr::ToHexadecimal(high, word());
}

cr::Expected<cr::PublicationRequest>
BuildRequest(const cr::Command& aCommand)
{
  cr::PublicationRequest request;
  for (const std::string& file : aCommand.m_operands) {
    auto text = cr::ReadTextFile(file);
    if (!text) {
      return tl::unexpected(text.error());
    }
    request.m_files.push_back({ file, std::move(*text) });
  }
  const auto removed = aCommand.m_values.find("remove");
  if (removed != aCommand.m_values.end()) {
    request.m_removed = removed->second;
  }
  request.m_operator = aCommand.Value("operator");
  request.m_publication = aCommand.Has("publication")
                            ? aCommand.Value("publication")
                            : NewPublicationId();
  request.m_time = cr::IoThreads::WallNow();
  if (aCommand.Has("base")) {
    const std::string text = aCommand.Value("base");
    cr::Generation base = 0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, base);
    if (result.ec != std::errc() || result.ptr != end) {
      return cr::Failure(cr::ErrorCode::Malformed,
                         "--base must be a whole number");
    }
    request.m_base = base;
  }
  return request;
}

struct ResultPrinter
{
  const cr::PublicationRequest& m_request;

  int operator()(const cr::Published& aResult) const
  {
    fmt::print("generation {} is accepted\n", aResult.m_generation);
    return cr::kExitOk;
  }
  int operator()(const cr::PublicationRejected& aResult) const
  {
    fmt::print(stderr, "{}", cr::ToText(aResult.m_findings));
    return Fail(
      cr::kExitUsage,
      fmt::format("{} findings; nothing changed", aResult.m_findings.size()));
  }
  int operator()(const cr::PublicationConflict& aResult) const
  {
    return Fail(cr::kExitConflict,
                fmt::format("conflict: {} published generation {} first; "
                            "nothing changed",
                            aResult.m_head.m_operator,
                            aResult.m_head.m_generation));
  }
  int operator()(const cr::PublicationUnsettled& aResult) const
  {
    return Fail(cr::kExitFailure,
                fmt::format("{}; repeat with --publication {} to settle it",
                            aResult.m_text,
                            m_request.m_publication));
  }
};

}

int
main(int aCount, char** aArguments)
{
  const auto command = cr::ParseCommand(
    { aArguments, static_cast<std::size_t>(aCount) }, Description());
  if (!command) {
    return Fail(cr::kExitUsage, command.error().m_text);
  }
  const bool hasWork = !command->m_operands.empty() || command->Has("remove");
  if (!command->Has("platform") || !command->Has("operator") || !hasWork) {
    return Fail(cr::kExitUsage,
                "--platform, --operator and service files are needed");
  }
  const auto platform = cr::ParseEndpointText(command->Value("platform"));
  if (!platform) {
    return Fail(cr::kExitUsage, platform.error().m_text);
  }
  const auto request = BuildRequest(*command);
  if (!request) {
    return Fail(cr::kExitUsage, request.error().m_text);
  }
  cr::IoThreads threads(1);
  cr::HttpClient client(threads, {});
  cr::StoreConnection store(client, *platform, kStoreTimeout);
  const cr::PublicationResult result =
    cr::Publish(*request, [&store](const cr::StoreRequest& aRequest) {
      return store.SendAndWait(aRequest);
    });
  return std::visit(ResultPrinter{ *request }, result);
}
