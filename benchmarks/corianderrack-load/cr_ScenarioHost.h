#pragma once

#include <string>

#include "cr_core/cr_core.h"
#include "cr_settings/cr_settings.h"

namespace cr {

struct Scenario;

/** One host of an experiment: a node and a backend server. */
struct ScenarioHost
{
  HostName m_host;
  std::string m_service;
  std::string m_region;
  std::string m_dataCentre;
  /** Caller port; the peer, operator and server ports follow it. */
  std::uint16_t m_basePort = 0;
  std::uint32_t m_slots = 1;
  /** Time that the server holds a slot before its own calls are made. */
  Duration m_serviceTime = Milliseconds(1);
};

/** Ports of a host, by what listens there. Thread safe. */
Endpoint
CallerEndpoint(const Scenario& aScenario, const ScenarioHost& aHost);
Endpoint
PeerEndpoint(const Scenario& aScenario, const ScenarioHost& aHost);
Endpoint
OperatorEndpoint(const Scenario& aScenario, const ScenarioHost& aHost);
Endpoint
ServerEndpoint(const Scenario& aScenario, const ScenarioHost& aHost);

/** Reads a host whose service time is the default unless it names one. Faults
    are added to the findings. Thread safe. */
ScenarioHost
ParseScenarioHost(const JsonDocument& aDocument,
                  const Json::Value& aValue,
                  Duration aServiceTime,
                  Findings& aFindings);

/** Returns the settings of a host's node, as JSON. Thread safe. */
std::string
WriteNodeSettings(const Scenario& aScenario, const ScenarioHost& aHost);

}
