#pragma once

#include <memory>

#include "cr_relay_server/protocol/cr_RelayProtocolAdapter.h"

namespace cr {

/** Settings of a relaying node's process. */
struct RelayServerSettings
{
  RelaySettings m_relay;
  /** Listens for requests of customers and of the host's own backend server. */
  Endpoint m_customers;
  /** Serves readiness and metrics. */
  Endpoint m_operators;
  /** Listens for announcements of the host's backend server. */
  Endpoint m_control;
  /** Address of the host's backend server. */
  Endpoint m_server;
  Endpoint m_platform;
  /** Memory that the process may use. */
  std::uint64_t m_memoryBytes = 256 * 1024 * 1024;
  /** Time from the shutdown request until the process must have exited. */
  Duration m_shutdownLimit = Seconds(6);
};

/** Runs a relaying node: its HTTP servers and clients around RelayDecisions.
    All methods are thread safe. */
class RelayServer
{
public:
  RelayServer(RelayServerSettings aSettings, RelayProtocolAdapter aAdapter);
  /** Closes immediately whatever Shutdown() has not closed. */
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  //==========================================================================
  /** Opens the ports and starts to serve. Fails when a port can't be opened. */
  Expected<void> Start();

  /** Logs that the settings file was read again, with the findings. Nothing is
      applied: addresses and names are fixed for the life of the process, and
      changed ones take effect in the next one. */
  void LogSettingsReload(std::string_view aText);

  /** Reports not ready, waits for requests in progress and closes. Returns the
      number of requests that were cut off at the shutdown limit. */
  std::size_t Shutdown();

private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

}
