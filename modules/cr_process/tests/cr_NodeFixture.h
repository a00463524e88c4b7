#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "cr_process/cr_process.h"
#include "cr_transport/cr_transport.h"
#include "platform_stand_in/platform_stand_in.h"

namespace cr {

/** One node and the stand-in for the platform, connected over loopback, with
    the published service "shop". Backend servers are up to the tests. Not
    thread safe. */
class NodeFixture
{
public:
  /** Service file of "shop", whose operation "browse" is idempotent. */
  static constexpr std::string_view kServiceFile =
    R"({ "service": "shop", "operations": { "browse": {
             "importance": "low", "idempotent": true, "patience_ms": 5000 } } })";

  NodeFixture(const NodeFixture&) = delete;
  NodeFixture& operator=(const NodeFixture&) = delete;

protected:
  /** Publishes the service and starts the node; uses four ports from the given
      one on. */
  explicit NodeFixture(std::uint16_t aBasePort);
  ~NodeFixture();

  //==========================================================================
  /** Ends the node and the I/O threads. Must be called before a backend server
      that the node uses is destroyed. */
  void End();

  /** Sends the request and returns the response; the status is 0, and the test
      fails, without one. */
  HttpResponse Send(const Endpoint& aEndpoint, HttpRequest aRequest);

  //==========================================================================
  /** Returns whether the node has its configuration and a backend server. */
  bool IsReady() const;

  Endpoint Platform() const { return { "127.0.0.1", m_basePort }; }
  Endpoint Caller() const { return PortAt(1); }
  Endpoint Peer() const { return PortAt(2); }

  /** Returns the endpoint that is the given number of ports after the first
      one. */
  Endpoint PortAt(std::uint16_t aOffset) const;

  const std::uint16_t m_basePort;
  IoThreads m_threads{ 2 };
  HttpClient m_client{ m_threads, {} };
  PlatformServer m_platform{ m_threads };
  std::unique_ptr<NodeServer> m_node;
};

}
