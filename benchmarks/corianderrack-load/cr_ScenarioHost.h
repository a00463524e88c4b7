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
  /** Caller port. The peer, operator and server ports are the next three. */
  std::uint16_t m_basePort = 0;
  std::uint32_t m_slots = 1;
  /** Time that a call occupies a slot before the server makes child calls. */
  Duration m_serviceTime = Milliseconds(1);
};

/** Return the endpoints on which a host's node and server listen. Thread safe.
 */
Endpoint
CallerEndpoint(const Scenario& aScenario, const ScenarioHost& aHost);
Endpoint
PeerEndpoint(const Scenario& aScenario, const ScenarioHost& aHost);
Endpoint
OperatorEndpoint(const Scenario& aScenario, const ScenarioHost& aHost);
Endpoint
ServerEndpoint(const Scenario& aScenario, const ScenarioHost& aHost);

/** Reads a host. aServiceTime is the default service time. Errors are added to
    the findings. Thread safe. */
ScenarioHost
ParseScenarioHost(const JsonDocument& aDocument,
                  const Json::Value& aValue,
                  Duration aServiceTime,
                  Findings& aFindings);

/** Returns the settings of a host's node, as JSON. Thread safe. */
std::string
WriteNodeSettings(const Scenario& aScenario, const ScenarioHost& aHost);

}
