#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cr_core/cr_core.h"
#include "cr_settings/json/cr_JsonDocument.h"

namespace cr {

/** An IP address and a port. */
struct Endpoint
{
  std::string m_address;
  std::uint16_t m_port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/** Returns `address:port`. Thread safe. */
std::string
ToText(const Endpoint& aEndpoint);

/** Settings of one node process, filled by ParseNodeSettings(). */
struct NodeSettings
{
  /** Name of the host; unique in the deployment. */
  HostName m_host;
  /** Region and data centre of the host. */
  std::string m_region;
  std::string m_dataCentre;
  /** Address that the three ports listen on. */
  std::string m_address;
  /** Port for customers and for the host's own backend server. */
  std::uint16_t m_callerPort = 0;
  /** Port for other nodes. */
  std::uint16_t m_peerPort = 0;
  /** Port for metrics and status. */
  std::uint16_t m_operatorPort = 0;
  /** The platform's table service and object store. */
  Endpoint m_platform;
  /** Peer ports of some other nodes, asked when the table is down at the start;
      may be empty. */
  std::vector<Endpoint> m_contacts;
  /** Number of threads that serve connections. */
  std::uint32_t m_threads = 2;
  /** Greatest time that a graceful shutdown waits for calls in progress. */
  Duration m_shutdownLimit = Seconds(30);
};

/** Reads a node's settings. Every wrong setting is added to the findings; the
    result is only usable when there are none. Thread safe. */
NodeSettings
ParseNodeSettings(std::string_view aFile,
                  std::string_view aText,
                  Findings& aFindings);

/** Reads an endpoint object `{"address": ..., "port": ...}`. Wrong values are
    added to the findings. Thread safe. */
Endpoint
ParseEndpoint(const JsonDocument& aDocument,
              const Json::Value& aValue,
              Findings& aFindings);

}
