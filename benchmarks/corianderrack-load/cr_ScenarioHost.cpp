#include "cr_ScenarioHost.h"

#include "cr_Scenario.h"

namespace cr {

namespace {

constexpr IntegerRange kPortRange = { 1024, 65500 };
constexpr IntegerRange kSlotRange = { 1, 10000 };
constexpr IntegerRange kServiceRangeMs = { 0, 60000 };

Endpoint
EndpointAt(const Scenario& aScenario, const ScenarioHost& aHost, int aOffset)
{
  return { aScenario.m_address,
           static_cast<std::uint16_t>(aHost.m_basePort + aOffset) };
}

}

Endpoint
CallerEndpoint(const Scenario& aScenario, const ScenarioHost& aHost)
{
  return EndpointAt(aScenario, aHost, 0);
}

Endpoint
PeerEndpoint(const Scenario& aScenario, const ScenarioHost& aHost)
{
  return EndpointAt(aScenario, aHost, 1);
}

Endpoint
OperatorEndpoint(const Scenario& aScenario, const ScenarioHost& aHost)
{
  return EndpointAt(aScenario, aHost, 2);
}

Endpoint
ServerEndpoint(const Scenario& aScenario, const ScenarioHost& aHost)
{
  return EndpointAt(aScenario, aHost, 3);
}

ScenarioHost
ParseScenarioHost(const JsonDocument& aDocument,
                  const Json::Value& aValue,
                  Duration aServiceTime,
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
  host.m_serviceTime = Milliseconds(reader.ReadInteger(
    "service_ms", kServiceRangeMs, ToMilliseconds(aServiceTime)));
  reader.Finish();
  return host;
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
