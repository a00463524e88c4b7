#include "cr_settings/node/cr_NodeSettings.h"

#include <arpa/inet.h>

#include <fmt/format.h>

#include "cr_settings/json/cr_ObjectReader.h"

namespace cr {

namespace {

constexpr IntegerRange kPortRange = { 1, 65535 };
constexpr IntegerRange kThreadRange = { 1, 64 };
constexpr IntegerRange kShutdownRangeSeconds = { 1, 3600 };
constexpr Json::ArrayIndex kMaxContacts = 16;
constexpr std::int64_t kDefaultThreads = 2;
constexpr IntegerRange kMemoryRangeMb = { 128, 1 << 20 };
constexpr std::int64_t kDefaultMemoryMb = 256;
constexpr std::uint64_t kMebibyte = std::uint64_t{ 1024 } * 1024;
constexpr std::int64_t kDefaultShutdownSeconds = 30;

std::uint16_t
ReadPort(ObjectReader& aReader, const std::string& aKey)
{
  return static_cast<std::uint16_t>(aReader.ReadInteger(aKey, kPortRange));
}

bool
IsIpAddress(const std::string& aText)
{
  in6_addr buffer{};
  return inet_pton(AF_INET, aText.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), &buffer) == 1;
}

std::string
ReadAddress(ObjectReader& aReader, const std::string& aKey)
{
  std::string text = aReader.ReadText(aKey);
  if (!text.empty() && !IsIpAddress(text)) {
    aReader.AddFinding(aKey, fmt::format("\"{}\" must be an IP address", aKey));
  }
  return text;
}

}

std::string
ToText(const Endpoint& aEndpoint)
{
  return fmt::format("{}:{}", aEndpoint.m_address, aEndpoint.m_port);
}

Endpoint
ParseEndpoint(const JsonDocument& aDocument,
              const Json::Value& aValue,
              Findings& aFindings)
{
  ObjectReader reader(aDocument, aValue, aFindings);
  Endpoint endpoint{ ReadAddress(reader, "address"), ReadPort(reader, "port") };
  reader.Finish();
  return endpoint;
}

namespace {

std::vector<Endpoint>
ReadContacts(const JsonDocument& aDocument,
             const Json::Value& aList,
             Findings& aFindings)
{
  std::vector<Endpoint> contacts;
  if (aList.isNull()) {
    return contacts;
  }
  if (!aList.isArray() || aList.size() > kMaxContacts) {
    aFindings.push_back(aDocument.FindingAt(
      aList,
      fmt::format("\"contacts\" must be a list of at most {} endpoints",
                  kMaxContacts)));
    return contacts;
  }
  for (const Json::Value& contact : aList) {
    contacts.push_back(ParseEndpoint(aDocument, contact, aFindings));
  }
  return contacts;
}

}

NodeSettings
ParseNodeSettings(std::string_view aFile,
                  std::string_view aText,
                  Findings& aFindings)
{
  const std::size_t before = aFindings.size();
  const JsonDocument document{ std::string(aFile),
                               std::string(aText),
                               aFindings };
  NodeSettings settings;
  if (aFindings.size() != before) {
    return settings;
  }
  ObjectReader reader(document, document.Root(), aFindings);
  settings.m_host = reader.ReadText("host");
  settings.m_region = reader.ReadText("region");
  settings.m_dataCentre = reader.ReadText("data_centre");
  settings.m_address = ReadAddress(reader, "address");
  settings.m_callerPort = ReadPort(reader, "caller_port");
  settings.m_peerPort = ReadPort(reader, "peer_port");
  settings.m_operatorPort = ReadPort(reader, "operator_port");
  settings.m_platform =
    ParseEndpoint(document, reader.ReadValue("platform"), aFindings);
  settings.m_contacts =
    ReadContacts(document, reader.ReadValue("contacts"), aFindings);
  settings.m_memoryBytes =
    kMebibyte * static_cast<std::uint64_t>(reader.ReadInteger(
                  "memory_mb", kMemoryRangeMb, kDefaultMemoryMb));
  settings.m_threads = static_cast<std::uint32_t>(
    reader.ReadInteger("threads", kThreadRange, kDefaultThreads));
  settings.m_shutdownLimit = Seconds(reader.ReadInteger(
    "shutdown_limit_seconds", kShutdownRangeSeconds, kDefaultShutdownSeconds));
  reader.Finish();
  return settings;
}

}
