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

/** Settings of one node process. @see ParseNodeSettings */
struct NodeSettings
{
  /** Name of the host; unique in the deployment. */
  HostName m_host;
  /** Region and data centre of the host. */
  std::string m_region;
  std::string m_dataCentre;
  /** IP address on which the node listens with its three ports. */
  std::string m_address;
  /** Port for customers and for the host's own backend server. */
  std::uint16_t m_callerPort = 0;
  /** Port for other nodes. */
  std::uint16_t m_peerPort = 0;
  /** Port for metrics and status. */
  std::uint16_t m_operatorPort = 0;
  /** Endpoint of the platform's table service and object store. */
  Endpoint m_platform;
  /** Peer endpoints of some other nodes, queried when the table service is
      unavailable at startup; may be empty. */
  std::vector<Endpoint> m_contacts;
  /** Memory that the process may use. */
  std::uint64_t m_memoryBytes = std::uint64_t{ 256 } * 1024 * 1024;
  /** Number of I/O threads. */
  std::uint32_t m_threads = 2;
  /** Maximum time that a graceful shutdown waits for calls in progress. */
  Duration m_shutdownLimit = Seconds(30);
};

/** Parses a node's settings. Adds a finding for each invalid setting; the
    result is valid only if no finding was added. Thread safe. */
NodeSettings
ParseNodeSettings(std::string_view aFile,
                  std::string_view aText,
                  Findings& aFindings);

/** Parses an endpoint object `{"address": ..., "port": ...}`. Adds a finding
    for each invalid value. Thread safe. */
Endpoint
ParseEndpoint(const JsonDocument& aDocument,
              const Json::Value& aValue,
              Findings& aFindings);

}
