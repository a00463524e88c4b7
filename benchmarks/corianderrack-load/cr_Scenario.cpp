#include "cr_Scenario.h"

namespace cr {

namespace {

constexpr IntegerRange kSeedRange = { 0, INT64_MAX };
constexpr IntegerRange kPortRange = { 1024, 65500 };
constexpr IntegerRange kSlotRange = { 1, 10000 };
constexpr IntegerRange kRateRange = { 0, 20000 };
constexpr IntegerRange kSecondsRange = { 1, 600 };
constexpr IntegerRange kServiceRangeMs = { 0, 60000 };

ScenarioHost
ReadHost(const JsonDocument& aDocument,
         const Json::Value& aValue,
         Findings& aFindings)
{
  ObjectReader reader(aDocument, aValue, aFindings);
  ScenarioHost host;
  host.m_host = reader.ReadText("host");
  host.m_service = reader.ReadText("service");
  host.m_region = reader.ReadText("region");
  host.m_dataCentre = reader.ReadText("data_centre");
  host.m_basePort =
    static_cast<std::uint16_t>(reader.ReadInteger("base_port", kPortRange));
  host.m_slots =
    static_cast<std::uint32_t>(reader.ReadInteger("slots", kSlotRange));
  reader.Finish();
  return host;
}

ScenarioStream
ReadStream(const JsonDocument& aDocument,
           const Json::Value& aValue,
           Findings& aFindings)
{
  ObjectReader reader(aDocument, aValue, aFindings);
  const std::string name = reader.ReadText("operation");
  const auto slash = name.find('/');
  if (slash == std::string::npos) {
    reader.AddFinding("operation", "an operation is \"service/operation\"");
    return {};
  }
  ScenarioStream stream{ { name.substr(0, slash), name.substr(slash + 1) },
                         reader.ReadInteger("per_second", kRateRange) };
  reader.Finish();
  return stream;
}

Endpoint
PortAt(const Scenario& aScenario, const ScenarioHost& aHost, int aOffset)
{
  return { aScenario.m_address,
           static_cast<std::uint16_t>(aHost.m_basePort + aOffset) };
}

}

Endpoint
CallerEndpoint(const Scenario& aScenario, const ScenarioHost& aHost)
{
  return PortAt(aScenario, aHost, 0);
}

Endpoint
PeerEndpoint(const Scenario& aScenario, const ScenarioHost& aHost)
{
  return PortAt(aScenario, aHost, 1);
}

Endpoint
OperatorEndpoint(const Scenario& aScenario, const ScenarioHost& aHost)
{
  return PortAt(aScenario, aHost, 2);
}

Endpoint
ServerEndpoint(const Scenario& aScenario, const ScenarioHost& aHost)
{
  return PortAt(aScenario, aHost, 3);
}

Scenario
ParseScenario(std::string_view aFile,
              std::string_view aText,
              Findings& aFindings)
{
  const JsonDocument document{ std::string(aFile),
                               std::string(aText),
                               aFindings };
  Scenario scenario;
  if (!aFindings.empty()) {
    return scenario;
  }
  ObjectReader reader(document, document.Root(), aFindings);
  scenario.m_seed =
    static_cast<std::uint64_t>(reader.ReadInteger("seed", kSeedRange));
  scenario.m_address = reader.ReadText("address");
  scenario.m_platformPort =
    static_cast<std::uint16_t>(reader.ReadInteger("platform_port", kPortRange));
  for (const Json::Value& file : reader.ReadValue("service_files")) {
    scenario.m_serviceFiles.push_back(file.asString());
  }
  scenario.m_serviceTime =
    Milliseconds(reader.ReadInteger("service_ms", kServiceRangeMs));
  scenario.m_length = Seconds(reader.ReadInteger("seconds", kSecondsRange));
  for (const Json::Value& host : reader.ReadValue("hosts")) {
    scenario.m_hosts.push_back(ReadHost(document, host, aFindings));
  }
  for (const Json::Value& stream : reader.ReadValue("streams")) {
    scenario.m_streams.push_back(ReadStream(document, stream, aFindings));
  }
  reader.Finish();
  return scenario;
}

std::string
WriteNodeSettings(const Scenario& aScenario, const ScenarioHost& aHost)
{
  Json::Value value(Json::objectValue);
  value["host"] = aHost.m_host;
  value["region"] = aHost.m_region;
  value["data_centre"] = aHost.m_dataCentre;
  value["address"] = aScenario.m_address;
  value["caller_port"] = CallerEndpoint(aScenario, aHost).m_port;
  value["peer_port"] = PeerEndpoint(aScenario, aHost).m_port;
  value["operator_port"] = OperatorEndpoint(aScenario, aHost).m_port;
  value["platform"]["address"] = aScenario.m_address;
  value["platform"]["port"] = aScenario.m_platformPort;
  return WriteJson(value);
}

}
