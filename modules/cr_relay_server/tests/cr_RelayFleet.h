#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "cr_relay_server/cr_relay_server.h"
#include "platform_stand_in/platform_stand_in.h"

namespace cr {

/** Relaying nodes on loopback, each beside a small backend server, with a
    stand-in for the platform. Nodes have addresses of their own in 127.0.0.0/8,
    as hosts have. */
class RelayFleet
{
public:
  struct Host
  {
    std::string m_address;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<RelayServer> m_node;
    std::atomic<int> m_runs{ 0 };
    std::atomic<Duration> m_time{ Duration::zero() };
  };

  explicit RelayFleet(const std::vector<std::string>& aServices);
  ~RelayFleet();
  RelayFleet(const RelayFleet&) = delete;
  RelayFleet& operator=(const RelayFleet&) = delete;

  /** Writes the routes: `/SERVICE/` to each service; "booking" is unsafe. */
  void WriteRoutes(Generation aGeneration,
                   const std::vector<std::string>& aServices,
                   std::uint64_t aBodyBytes = 1000);

  /** Lets a host's server announce itself, and returns the status. */
  unsigned Announce(std::size_t aHost, int aSequence, bool aIsLeaving = false);

  /** Sends a request to a host's node. */
  HttpResponse Send(std::size_t aHost,
                    const std::string& aTarget,
                    HttpHeaders aHeaders = {});

  /** Sends until the status comes, for two seconds at most. */
  unsigned SendUntil(std::size_t aHost,
                     const std::string& aTarget,
                     unsigned aStatus);

  /** Asks a port of a host. */
  HttpResponse Ask(std::size_t aHost,
                   std::uint16_t aPort,
                   HttpRequest aRequest);

  Host& At(std::size_t aHost) { return *m_hosts.at(aHost); }

  static constexpr std::uint16_t kCustomers = 27400;
  static constexpr std::uint16_t kPeers = 27401;
  static constexpr std::uint16_t kOperators = 27402;
  static constexpr std::uint16_t kControl = 27403;
  static constexpr std::uint16_t kServer = 27404;
  static constexpr Duration kShutdownLimit = Seconds(4);

  IoThreads m_threads{ 2 };
  PlatformServer m_platform{ m_threads };

private:
  void StartHost(const std::string& aService);
  RelayDialect Dialect() const;

  HttpClient m_client{ m_threads, {} };
  Endpoint m_platformAddress;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::atomic<int> m_requests{ 0 };
};

}
