/* Read-only command line tool for operators: prints the status of nodes, the
   active configuration and the audit trail. */

#include <deque>

#include <fmt/format.h>

#include "cr_AuditFilter.h"
#include "cr_command/cr_command.h"
#include "cr_configuration/cr_configuration.h"
#include "cr_membership/cr_membership.h"
#include "cr_process/cr_process.h"
#include "cr_transport/cr_transport.h"

namespace {

constexpr cr::Duration kTimeout = cr::Seconds(5);
constexpr std::uint32_t kPageLimit = 200;
constexpr std::size_t kMaxLimit = 100000;

const cr::CommandDescription&
ProgramDescription()
{
  static const cr::CommandDescription description{
    "corianderrack-inspect",
    "status | nodes | head | configuration | service NAME | audit",
    { { "node", 'n', "Operator port of a node, for status", "ADDRESS:PORT" },
      { "platform", 'p', "Table service, for everything else", "ADDRESS:PORT" },
      { "json", 'j', "Print JSON, one value a line", "" },
      { "kind", 'k', "Audit rows of this kind only", "KIND" },
      { "operator", 'o', "Audit rows of this operator only", "NAME" },
      { "since", 's', "Audit rows from this UTC time on", "TIME" },
      { "limit", 'l', "At most so many of the newest audit rows", "NUMBER" } }
  };
  return description;
}

/* Runs one query against a node or the platform. */
class Inspection
{
public:
  Inspection(const cr::Command& aCommand, const cr::Endpoint& aEndpoint)
    : m_command(aCommand)
    , m_json(aCommand.Has("json"))
    , m_endpoint(aEndpoint)
    , m_threads(1)
    , m_client(m_threads, {})
    , m_store(m_client, aEndpoint, kTimeout)
  {
  }

  int Run(const std::string& aSubject)
  {
    if (aSubject == "status") {
      return PrintStatus();
    }
    if (aSubject == "nodes") {
      return PrintNodes();
    }
    if (aSubject == "head") {
      return PrintHead();
    }
    if (aSubject == "audit") {
      return PrintAudit();
    }
    return PrintServices(aSubject == "service" ? m_command.m_operands.back()
                                               : std::string());
  }

private:
  int PrintStatus()
  {
    const cr::HttpResult result = m_client.SendAndWait(
      m_endpoint, { "GET", std::string(cr::kStatusPath), {}, {} }, kTimeout);
    const auto* response = std::get_if<cr::HttpResponse>(&result);
    if (response == nullptr || response->m_status != cr::kHttpOk) {
      return cr::Fail(
        ProgramDescription(), cr::kExitFailure, "the node does not answer");
    }
    const auto status = cr::ParseJson(response->m_body);
    if (m_json || !status || !status->isObject()) {
      fmt::print("{}\n", response->m_body);
      return cr::kExitOk;
    }
    PrintMembers(*status, "");
    return cr::kExitOk;
  }

  /* Prints one line per member; members of nested objects are indented. */
  static void PrintMembers(const Json::Value& aObject,
                           const std::string& aIndent)
  {
    for (const std::string& name : aObject.getMemberNames()) {
      const Json::Value& value = aObject[name];
      if (value.isObject()) {
        fmt::print("{}{}:\n", aIndent, name);
        PrintMembers(value, aIndent + "  ");
      } else {
        fmt::print("{}{}: {}\n",
                   aIndent,
                   name,
                   value.isString() ? value.asString() : cr::WriteJson(value));
      }
    }
  }

  int PrintNodes()
  {
    return ForEachRow(
      std::string(cr::kNodeTable), {}, [this](const cr::Row& aRow) {
        const auto node = cr::DecodeNodeRow(aRow.m_value);
        if (m_json || !node) {
          fmt::print("{}\n", aRow.m_value);
          return;
        }
        fmt::print("{:<20} {:<16} {:<8} {:<21} {}/{} incarnation {}\n",
                   node->m_host,
                   node->m_service.empty() ? "-" : node->m_service,
                   cr::ToText(node->m_state),
                   cr::ToText(node->m_peer),
                   node->m_region,
                   node->m_dataCentre,
                   static_cast<std::uint64_t>(node->m_incarnation));
      });
  }

  int PrintHead()
  {
    const auto head = ReadHead();
    if (!head) {
      return cr::Fail(
        ProgramDescription(), cr::kExitFailure, head.error().m_text);
    }
    if (m_json) {
      fmt::print("{}\n", cr::EncodeHead(*head));
      return cr::kExitOk;
    }
    fmt::print("generation {} published by {} at {}, publication {}\n",
               head->m_generation,
               head->m_operator,
               cr::ToText(head->m_time),
               head->m_publicationId);
    return cr::kExitOk;
  }

  int PrintAudit()
  {
    const auto filter = ReadFilter();
    if (!filter) {
      return cr::Fail(
        ProgramDescription(), cr::kExitUsage, filter.error().m_text);
    }
    const std::string prefix =
      filter->m_kind.empty() ? "" : filter->m_kind + '/';
    std::deque<cr::AuditEntry> newest;
    const int code = ForEachRow(
      std::string(cr::kAuditTable), prefix, [&](const cr::Row& aRow) {
        auto entry = cr::ParseAuditEntry(aRow.m_key, aRow.m_value);
        if (!entry || !cr::IsSelected(*filter, *entry)) {
          return;
        }
        newest.push_back(std::move(*entry));
        if (newest.size() > filter->m_limit) {
          newest.pop_front();
        }
      });
    for (const cr::AuditEntry& entry : newest) {
      fmt::print("{}\n",
                 m_json ? cr::WriteJson(entry.m_value) : cr::ToText(entry));
    }
    return code;
  }

  /* Prints the active service files, of one service or of all if the name is
     empty. */
  int PrintServices(const std::string& aService)
  {
    const auto head = ReadHead();
    if (!head) {
      return cr::Fail(
        ProgramDescription(), cr::kExitFailure, head.error().m_text);
    }
    const auto text = ReadObject(head->m_manifest);
    const auto manifest =
      text ? cr::DecodeManifest(*text) : tl::unexpected(text.error());
    if (!manifest) {
      return cr::Fail(
        ProgramDescription(), cr::kExitFailure, manifest.error().m_text);
    }
    if (!aService.empty() && !manifest->m_objects.contains(aService)) {
      return cr::Fail(ProgramDescription(),
                      cr::kExitFailure,
                      aService + " is not in the active configuration");
    }
    for (const auto& [service, object] : manifest->m_objects) {
      if (!aService.empty() && service != aService) {
        continue;
      }
      const auto file = ReadObject(object);
      if (!file) {
        return cr::Fail(
          ProgramDescription(), cr::kExitFailure, file.error().m_text);
      }
      PrintFile(service, object, *file);
    }
    return cr::kExitOk;
  }

  void PrintFile(const std::string& aService,
                 const std::string& aObject,
                 const std::string& aText) const
  {
    if (!m_json) {
      fmt::print("// {}, object {}\n{}\n", aService, aObject, aText);
      return;
    }
    Json::Value value(Json::objectValue);
    value["service"] = aService;
    value["object"] = aObject;
    value["file"] = aText;
    fmt::print("{}\n", cr::WriteJson(value));
  }

  cr::Expected<cr::ConfigurationHead> ReadHead()
  {
    const cr::StoreAnswer answer =
      m_store.SendAndWait(cr::ReadRequest{ cr::HeadRow() });
    const auto* found = std::get_if<cr::RowFound>(&answer);
    if (found == nullptr) {
      return cr::Failure(cr::ErrorCode::Unavailable,
                         "the platform does not answer");
    }
    if (!found->m_row) {
      return cr::Failure(cr::ErrorCode::NotFound, "nothing is published yet");
    }
    return cr::DecodeHead(found->m_row->m_value);
  }

  cr::Expected<std::string> ReadObject(const std::string& aName)
  {
    const cr::StoreAnswer answer =
      m_store.SendAndWait(cr::GetObjectRequest{ aName });
    const auto* found = std::get_if<cr::ObjectFound>(&answer);
    if (found == nullptr || !found->m_content) {
      return cr::Failure(cr::ErrorCode::Unavailable,
                         "object " + aName + " cannot be read");
    }
    return *found->m_content;
  }

  template<typename Function>
  int ForEachRow(const std::string& aTable,
                 const std::string& aPrefix,
                 Function aFunction)
  {
    std::string after;
    while (true) {
      const cr::StoreAnswer answer = m_store.SendAndWait(
        cr::ScanRequest{ aTable, after, kPageLimit, aPrefix });
      const auto* page = std::get_if<cr::RowPage>(&answer);
      if (page == nullptr) {
        return cr::Fail(ProgramDescription(),
                        cr::kExitFailure,
                        "the platform does not answer");
      }
      for (const cr::Row& row : page->m_rows) {
        aFunction(row);
        after = row.m_key;
      }
      if (!page->m_more || page->m_rows.empty()) {
        return cr::kExitOk;
      }
    }
  }

  cr::Expected<cr::AuditFilter> ReadFilter() const
  {
    cr::AuditFilter filter;
    filter.m_kind = m_command.Value("kind");
    filter.m_operator = m_command.Value("operator");
    if (m_command.Has("since")) {
      const auto since = cr::ParseTime(m_command.Value("since"));
      if (!since) {
        return tl::unexpected(since.error());
      }
      filter.m_since = *since;
    }
    if (m_command.Has("limit")) {
      const auto limit =
        cr::ParseNumber<decltype(filter.m_limit)>(m_command.Value("limit"));
      filter.m_limit = limit.value_or(0);
      if (filter.m_limit == 0 || filter.m_limit > kMaxLimit) {
        return cr::Failure(cr::ErrorCode::Malformed,
                           "--limit must be from 1 to 100000");
      }
    }
    return filter;
  }

  const cr::Command& m_command;
  const bool m_json;
  const cr::Endpoint m_endpoint;
  cr::IoThreads m_threads;
  cr::HttpClient m_client;
  cr::StoreConnection m_store;
};

/* Returns the error in the operands, or an empty text. */
std::string
CheckOperands(const cr::Command& aCommand)
{
  const auto& operands = aCommand.m_operands;
  const std::string subject = operands.empty() ? "" : operands.front();
  const bool known = subject == "status" || subject == "nodes" ||
                     subject == "head" || subject == "configuration" ||
                     subject == "service" || subject == "audit";
  if (!known) {
    return "name one of status, nodes, head, configuration, service, audit";
  }
  if (operands.size() != (subject == "service" ? 2U : 1U)) {
    return subject == "service" ? "name one service"
                                : subject + " takes no further name";
  }
  const std::string option = subject == "status" ? "node" : "platform";
  return aCommand.Has(option) ? "" : subject + " needs --" + option;
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
  if (const std::string wrong = CheckOperands(*command); !wrong.empty()) {
    return cr::Fail(ProgramDescription(), cr::kExitUsage, wrong);
  }
  const std::string subject = command->m_operands.front();
  const auto endpoint = cr::ParseEndpointText(
    command->Value(subject == "status" ? "node" : "platform"));
  if (!endpoint) {
    return cr::Fail(
      ProgramDescription(), cr::kExitUsage, endpoint.error().m_text);
  }
  Inspection inspection(*command, *endpoint);
  return inspection.Run(subject);
}
