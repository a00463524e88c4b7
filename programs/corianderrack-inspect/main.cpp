/* The operators' read-only program: status of nodes, and the audit trail. */

#include <fmt/format.h>

#include "cr_command/cr_command.h"
#include "cr_configuration/cr_configuration.h"
#include "cr_membership/cr_membership.h"
#include "cr_process/cr_process.h"
#include "cr_transport/cr_transport.h"

namespace {

constexpr cr::Duration kTimeout = cr::Seconds(5);
constexpr std::uint32_t kPageLimit = 200;

const cr::CommandDescription&
Description()
{
  static const cr::CommandDescription description{
    "corianderrack-inspect",
    "status|head|nodes|audit",
    { { "node", 'n', "Operator port of a node, for status", "ADDRESS:PORT" },
      { "platform",
        'p',
        "Table service, for head, nodes and audit",
        "ADDRESS:PORT" } }
  };
  return description;
}

int
Fail(int aCode, const std::string& aText)
{
  fmt::print(stderr, "corianderrack-inspect: {}\n", aText);
  return aCode;
}

int
PrintStatus(cr::HttpClient& aClient, const cr::Endpoint& aNode)
{
  const cr::HttpResult result = aClient.SendAndWait(
    aNode, { "GET", std::string(cr::kStatusPath), {}, {} }, kTimeout);
  const auto* response = std::get_if<cr::HttpResponse>(&result);
  if (response == nullptr || response->m_status != cr::kHttpOk) {
    return Fail(cr::kExitFailure, "the node does not answer");
  }
  fmt::print("{}\n", response->m_body);
  return cr::kExitOk;
}

int
PrintHead(cr::StoreConnection& aStore)
{
  const cr::StoreAnswer answer =
    aStore.SendAndWait(cr::ReadRequest{ cr::HeadRow() });
  const auto* found = std::get_if<cr::RowFound>(&answer);
  if (found == nullptr) {
    return Fail(cr::kExitFailure, "the platform does not answer");
  }
  fmt::print("{}\n", found->m_row ? found->m_row->m_value : "{}");
  return cr::kExitOk;
}

int
PrintTable(cr::StoreConnection& aStore, const std::string& aTable)
{
  std::string after;
  while (true) {
    const cr::StoreAnswer answer =
      aStore.SendAndWait(cr::ScanRequest{ aTable, after, kPageLimit, {} });
    const auto* page = std::get_if<cr::RowPage>(&answer);
    if (page == nullptr) {
      return Fail(cr::kExitFailure, "the platform does not answer");
    }
    for (const cr::Row& row : page->m_rows) {
      fmt::print("{}\n", row.m_value);
      after = row.m_key;
    }
    if (!page->m_more) {
      return cr::kExitOk;
    }
  }
}

int
Run(const cr::Command& aCommand, const std::string& aSubject)
{
  const std::string option = aSubject == "status" ? "node" : "platform";
  if (!aCommand.Has(option)) {
    return Fail(cr::kExitUsage, fmt::format("{} needs --{}", aSubject, option));
  }
  const auto endpoint = cr::ParseEndpointText(aCommand.Value(option));
  if (!endpoint) {
    return Fail(cr::kExitUsage, endpoint.error().m_text);
  }
  cr::IoThreads threads(1);
  cr::HttpClient client(threads, {});
  cr::StoreConnection store(client, *endpoint, kTimeout);
  if (aSubject == "status") {
    return PrintStatus(client, *endpoint);
  }
  if (aSubject == "head") {
    return PrintHead(store);
  }
  if (aSubject == "nodes") {
    return PrintTable(store, std::string(cr::kNodeTable));
  }
  if (aSubject == "audit") {
    return PrintTable(store, "audit");
  }
  return Fail(cr::kExitUsage, "unknown subject \"" + aSubject + "\"");
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
  if (command->m_operands.size() != 1) {
    return Fail(cr::kExitUsage, "name one of status, head, nodes, audit");
  }
  return Run(*command, command->m_operands.front());
}
