#pragma once

#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "cr_relay_server/cr_relay_server.h"
#include "platform_stand_in/platform_stand_in.h"
#include "scripted_stand_in/scripted_stand_in.h"

namespace cr {

/** Relaying nodes on loopback, each with a small backend server, and one
    stand-in for the platform. Each host has its own address in 127.0.0.0/8. */
class RelayFleet
{
public:
  struct Host
  {
    std::string m_address;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<RelayServer> m_node;
    RelayServerSettings m_settings;
    std::atomic<int> m_requestsRun{ 0 };
    /** Rate limit that the server names; 0 for none. */
    std::atomic<int> m_rateLimit{ 0 };
    std::atomic<bool> m_isLeaving{ false };
    std::atomic<Duration> m_responseDelay{ Duration::zero() };
  };

  /** Its destruction lets the node run again and waits until it does. */
  struct NodeBlock
  {
    std::future<void> m_unblocked;
    std::unique_lock<std::mutex> m_lock;
  };

  /** Nodes call the store at the given endpoint, or else the stand-in. */
  explicit RelayFleet(const std::vector<std::string>& aServices,
                      const std::optional<Endpoint>& aStore = std::nullopt);
  ~RelayFleet();
  RelayFleet(const RelayFleet&) = delete;
  RelayFleet& operator=(const RelayFleet&) = delete;

  /** Publishes routes that map `/SERVICE/` to each service; those to "booking"
      are not idempotent. */
  void WriteRoutes(Generation aGeneration,
                   const std::vector<std::string>& aServices,
                   std::uint64_t aBodyBytes = 1000);

  /** Ends a host's backend server, and starts one in its place that answers
      with the handler's bytes. */
  std::unique_ptr<ScriptedServer> ReplaceServer(std::size_t aHost,
                                                const ScriptedHandler& aHandler,
                                                std::size_t aUnreadBytes = 0);

  /** Ends a host's node as if it crashed, and starts it again. */
  void Restart(std::size_t aHost);

  /** Sends an announcement of a host's server; returns the HTTP status. */
  unsigned Announce(std::size_t aHost, int aSequence, bool aIsLeaving = false);

  /** Sends a customer's request to a host's node. */
  HttpResponse Send(std::size_t aHost,
                    const std::string& aTarget,
                    HttpHeaders aHeaders = {});

  /** Sends a customer's request with the given identifier to a host's node. */
  HttpResponse SendWithId(std::size_t aHost,
                          const std::string& aTarget,
                          const std::string& aId,
                          HttpHeaders aHeaders = {});

  /** Sends requests through the first host's node that are served, so that its
      retry budget, a ratio of them, allows some retries. */
  void FillRetryBudget(const std::string& aTarget);

  /** Sends requests until one gets the status, for about two seconds at most;
      returns the last status. */
  unsigned SendUntil(std::size_t aHost,
                     const std::string& aTarget,
                     unsigned aStatus);

  /** Sends a request to a port of a host; the status is 0 without an answer. */
  HttpResponse SendTo(std::size_t aHost,
                      std::uint16_t aPort,
                      HttpRequest aRequest);

  /** Blocks the I/O thread of a host's node while the result exists. At most
      one node is blocked at a time. */
  NodeBlock BlockNode(std::size_t aHost);

  /** Returns how many decisions with the event name a host's node counted. */
  int CountDecisions(std::size_t aHost, const std::string& aEvent);

  /** Writes a customer's request to a new connection and returns the
      connection. */
  boost::asio::ip::tcp::socket SendOnSocket(std::size_t aHost,
                                            const std::string& aTarget);

  Host& At(std::size_t aHost) { return *m_hosts.at(aHost); }

  /** Returns the address of the platform's stand-in. */
  const Endpoint& PlatformAddress() const { return m_platformAddress; }

  static constexpr std::uint16_t kCustomerPort = 27400;
  static constexpr std::uint16_t kPeerPort = 27401;
  static constexpr std::uint16_t kOperatorPort = 27402;
  static constexpr std::uint16_t kControlPort = 27403;
  static constexpr std::uint16_t kServerPort = 27404;
  static constexpr Duration kShutdownLimit = Seconds(4);

  /** Requests with this target crash the server that runs them, which starts
      again after 300 ms. Set while no request is in progress. */
  std::string m_crashingTarget;
  std::atomic<int> m_crashes{ 0 };

  IoThreads m_threads{ 2 };
  PlatformServer m_platform{ m_threads };

private:
  void StartHost(const std::string& aService);
  void StartServer(Host& aHost);
  void CrashServer(Host& aHost);
  void StartNode(Host& aHost);
  RelayProtocolAdapter MakeAdapter() const;

  HttpClient m_client{ m_threads, {} };
  boost::asio::io_context m_socketContext;
  Endpoint m_platformAddress;
  Endpoint m_storeAddress;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::atomic<int> m_requests{ 0 };
};

}
