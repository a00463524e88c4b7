#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cr_core/cr_core.h"
#include "cr_settings/cr_settings.h"

namespace cr {

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
};

/** Arrivals of one operation. */
struct ScenarioStream
{
  OperationName m_operation;
  std::int64_t m_perSecond = 0;
};

/** An experiment: hosts, service files and arrivals. */
struct Scenario
{
  std::uint64_t m_seed = 0;
  std::string m_address;
  std::uint16_t m_platformPort = 0;
  /** Relative to the scenario file. */
  std::vector<std::string> m_serviceFiles;
  Duration m_serviceTime = Milliseconds(1);
  Duration m_length = Seconds(1);
  std::vector<ScenarioHost> m_hosts;
  std::vector<ScenarioStream> m_streams;
};

/** Ports of a host, by what listens there. */
Endpoint
CallerEndpoint(const Scenario& aScenario, const ScenarioHost& aHost);
Endpoint
PeerEndpoint(const Scenario& aScenario, const ScenarioHost& aHost);
Endpoint
OperatorEndpoint(const Scenario& aScenario, const ScenarioHost& aHost);
Endpoint
ServerEndpoint(const Scenario& aScenario, const ScenarioHost& aHost);

/** Reads a scenario. Faults are added to the findings. Thread safe. */
Scenario
ParseScenario(std::string_view aFile,
              std::string_view aText,
              Findings& aFindings);

/** Returns the settings of a host's node, as JSON. Thread safe. */
std::string
WriteNodeSettings(const Scenario& aScenario, const ScenarioHost& aHost);

}
