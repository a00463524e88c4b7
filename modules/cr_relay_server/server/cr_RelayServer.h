#pragma once

#include <memory>

#include "cr_relay_server/dialect/cr_RelayDialect.h"

namespace cr {

/** Settings of the process around the decisions. */
struct RelayServerSettings
{
  RelaySettings m_relay;
  /** Where customers and the host's own backend server send requests. */
  Endpoint m_customers;
  /** Where readiness and metrics are asked for. */
  Endpoint m_operators;
  /** Where the host's backend server announces itself. */
  Endpoint m_control;
  /** The host's backend server. */
  Endpoint m_server;
  Endpoint m_platform;
  /** Bytes of request bodies that may be held at once. */
  std::uint64_t m_heldBodyBytes = 64 * 1024 * 1024;
  /** Time from the order to end until the process must have ended. */
  Duration m_shutdownLimit = Seconds(6);
};

/** A relaying node as a process. All methods are thread safe. */
class RelayServer
{
public:
  RelayServer(RelayServerSettings aSettings, RelayDialect aDialect);
  /** Closes at once what Shutdown() has not closed. */
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  //==========================================================================
  /** Opens the ports and begins. */
  Expected<void> Start();

  /** Writes a line that the settings were read again. Addresses and names hold
      for the life of the process; the platform gives a changed one to the next
      process. */
  void NoteSettings(std::string_view aText);

  /** Sends customers elsewhere, lets requests in progress end, and closes.
      Returns the number of requests that were cut off. */
  std::size_t Shutdown();

private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

}
