/* Command line tool that validates service files together and publishes them
   as the active configuration. */

#include <charconv>
#include <cstdlib>
#include <random>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "cr_command/cr_command.h"
#include "cr_configuration/cr_configuration.h"
#include "cr_transport/cr_transport.h"

namespace {

constexpr cr::Duration kStoreTimeout = cr::Seconds(5);

const cr::CommandDescription&
ProgramDescription()
{
  static const cr::CommandDescription description{
    "corianderrack-publish",
    "SERVICE-FILE...",
    { { "platform", 'p', "Table service and object store", "ADDRESS:PORT" },
      { "operator", 'o', "Who publishes, for the audit trail", "NAME" },
      { "base", 'b', "Refuse if another generation is active", "NUMBER" },
      { "remove",
        'r',
        "Remove a service from the active configuration",
        "SERVICE" },
      { "from-generation",
        'f',
        "Publish the whole content of an older generation again",
        "NUMBER" },
      { "check",
        'c',
        "Check the files as the whole configuration; needs no platform",
        "" },
      { "dry-run",
        'd',
        "Check the files against the active configuration; write nothing",
        "" },
      { "publication",
        'i',
        "Identifier of an earlier, unresolved publication to retry",
        "ID" } }
  };
  return description;
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

std::optional<cr::Generation>
ReadGeneration(const cr::Command& aCommand,
               const std::string& aOption,
               cr::Findings& aFindings)
{
  if (!aCommand.Has(aOption)) {
    return std::nullopt;
  }
  const std::string text = aCommand.Value(aOption);
  cr::Generation generation = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, generation);
  if (result.ec != std::errc() || result.ptr != end) {
    aFindings.push_back(
      { { "--" + aOption, 1, 1 }, "\"" + text + "\" is not a whole number" });
  }
  return generation;
}

std::vector<cr::ServiceFileText>
ReadFiles(const cr::Command& aCommand, cr::Findings& aFindings)
{
  std::vector<cr::ServiceFileText> files;
  for (const std::string& file : aCommand.m_operands) {
    auto text = cr::ReadTextFile(file);
    if (text) {
      files.push_back({ file, std::move(*text) });
    } else {
      aFindings.push_back({ { file, 1, 1 }, text.error().m_text });
    }
  }
  return files;
}

cr::PublicationRequest
BuildRequest(const cr::Command& aCommand, cr::Findings& aFindings)
{
  cr::PublicationRequest request;
  request.m_files = ReadFiles(aCommand, aFindings);
  const auto removed = aCommand.m_values.find("remove");
  if (removed != aCommand.m_values.end()) {
    request.m_removed = removed->second;
  }
  request.m_operator = aCommand.Value("operator");
  request.m_isRetry = aCommand.Has("publication");
  request.m_publicationId =
    request.m_isRetry ? aCommand.Value("publication") : NewPublicationId();
  request.m_time = cr::IoThreads::WallNow();
  request.m_baseGeneration = ReadGeneration(aCommand, "base", aFindings);
  request.m_sourceGeneration =
    ReadGeneration(aCommand, "from-generation", aFindings);
  request.m_dryRun = aCommand.Has("dry-run");
  return request;
}

int
PrintFindings(const cr::Findings& aFindings)
{
  fmt::print(stderr, "{}", cr::ToText(aFindings));
  return cr::Fail(
    ProgramDescription(),
    cr::kExitUsage,
    fmt::format("{} findings; nothing changed", aFindings.size()));
}

struct ResultPrinter
{
  const cr::PublicationRequest& m_request;

  int operator()(const cr::Published& aResult) const
  {
    fmt::print("generation {} is accepted\n", aResult.m_generation);
    return cr::kExitOk;
  }
  int operator()(const cr::PublicationChecked& aResult) const
  {
    fmt::print("on generation {}: {} changed [{}], {} removed [{}]; nothing "
               "is written\n",
               aResult.m_baseGeneration,
               aResult.m_changed.size(),
               fmt::join(aResult.m_changed, ", "),
               aResult.m_removed.size(),
               fmt::join(aResult.m_removed, ", "));
    return cr::kExitOk;
  }
  int operator()(const cr::PublicationRejected& aResult) const
  {
    return PrintFindings(aResult.m_findings);
  }
  int operator()(const cr::PublicationConflict& aResult) const
  {
    return cr::Fail(ProgramDescription(),
                    cr::kExitConflict,
                    fmt::format("conflict: {} published generation {} first; "
                                "nothing changed",
                                aResult.m_head.m_operator,
                                aResult.m_head.m_generation));
  }
  int operator()(const cr::PublicationUnresolved& aResult) const
  {
    return cr::Fail(ProgramDescription(),
                    cr::kExitFailure,
                    fmt::format("{}; retry with --publication {} to resolve it",
                                aResult.m_text,
                                m_request.m_publicationId));
  }
};

int
CheckOnly(const cr::Command& aCommand)
{
  cr::Findings findings;
  const auto files = ReadFiles(aCommand, findings);
  for (const cr::Finding& finding : cr::CheckFiles(files)) {
    findings.push_back(finding);
  }
  if (!findings.empty()) {
    return PrintFindings(findings);
  }
  fmt::print("{} files are in order\n", files.size());
  return cr::kExitOk;
}

/* Returns the error in the command line, or an empty text. */
std::string
CheckOptions(const cr::Command& aCommand)
{
  const bool hasFiles = !aCommand.m_operands.empty();
  if (aCommand.Has("check")) {
    return hasFiles ? "" : "--check needs service files";
  }
  const bool hasFrom = aCommand.Has("from-generation");
  if (hasFrom && (hasFiles || aCommand.Has("remove"))) {
    return "--from-generation takes neither files nor --remove";
  }
  if (!hasFiles && !hasFrom && !aCommand.Has("remove")) {
    return "service files, --remove or --from-generation are needed";
  }
  if (!aCommand.Has("platform")) {
    return "--platform is needed";
  }
  const bool writes = !aCommand.Has("dry-run");
  return writes && aCommand.Value("operator").empty() ? "--operator is needed"
                                                      : "";
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
  if (const std::string wrong = CheckOptions(*command); !wrong.empty()) {
    return cr::Fail(ProgramDescription(), cr::kExitUsage, wrong);
  }
  if (command->Has("check")) {
    return CheckOnly(*command);
  }
  cr::Findings findings;
  const cr::PublicationRequest request = BuildRequest(*command, findings);
  const auto platform = cr::ParseEndpointText(command->Value("platform"));
  if (!platform) {
    findings.push_back({ { "--platform", 1, 1 }, platform.error().m_text });
  }
  if (!findings.empty()) {
    return PrintFindings(findings);
  }
  cr::IoThreads threads(1);
  cr::HttpClient client(threads, {});
  cr::StoreConnection store(client, *platform, kStoreTimeout);
  const cr::PublicationResult result =
    cr::Publish(request, [&store](const cr::StoreRequest& aRequest) {
      return store.SendAndWait(aRequest);
    });
  return std::visit(ResultPrinter{ request }, result);
}
