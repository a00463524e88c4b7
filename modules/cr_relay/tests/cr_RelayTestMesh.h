#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/cr_RelayTestNode.h"

namespace cr {

/** The decisions of several relaying nodes in virtual time, each with a backend
    server that may name a rate limit or leave, and one platform. */
class RelayTestMesh
{
public:
  /** A request that reached a backend server. */
  struct Arrival
  {
    Instant m_time;
    /* Host at which the request began. */
    std::size_t m_origin = 0;
    std::string m_server;
    std::string m_target;
  };

  struct Host
  {
    std::string m_name;
    std::unique_ptr<RelayDecisions> m_decisions;
    std::string m_server;
    WallMilliseconds m_serverStart = 1000;
    std::uint64_t m_sequence = 0;
    ServerCondition m_condition;
    Duration m_serviceTime = Milliseconds(100);
    bool m_isDown = false;
    /* The server has crashed and is not back yet. */
    bool m_isServerDown = false;
    /* Calls that the server runs. */
    std::set<CallId> m_running;
    /* A server that leaves still answers its health path as healthy. */
    bool m_hasFalseHealth = false;
    /* The server has announced its departure. */
    bool m_hasDeparted = false;
    /* The node has acknowledged it. */
    bool m_isDepartureAcknowledged = false;
    std::uint64_t m_starts = 0;
    Instant m_timer = Instant::max();
    std::vector<Arrival> m_arrivals;
  };

  /** Creates ready hosts of the service "orders". */
  explicit RelayTestMesh(std::size_t aHosts,
                         std::vector<RouteDescription> aRoutes);

  /** Schedules a customer's request at the present time plus aDelay. */
  void Send(std::size_t aHost, const std::string& aTarget, Duration aDelay);

  /** Sends the requests per second to random hosts for a time; runs
      meanwhile. */
  void SendAtRate(double aRate, const std::string& aTarget, Duration aTime);

  /** Ends the node's process; its server continues. */
  void Stop(std::size_t aHost);

  /** Starts the node's process again; the server announces itself only if
      aIsAnnounced. */
  void Start(std::size_t aHost, bool aIsAnnounced = true);

  /** The host's server announces itself to its node. */
  void Announce(std::size_t aHost);

  /** An announcement of the host's server that was sent with the sequence
      number arrives late. */
  void AnnounceLate(std::size_t aHost, std::uint64_t aSequence);

  /** The host's server announces its departure and runs on. */
  void Depart(std::size_t aHost);

  /** The host's server announces itself every 1.5 s from now on, for a time. */
  void AnnounceRepeatedly(std::size_t aHost, Duration aTime);

  /** Ends the host's server and all requests that it runs. It starts again
      after m_serverDownTime. */
  void CrashServer(std::size_t aHost);

  /** Returns the number of requests with the target that began in servers at
      aSince or later. */
  std::size_t CountRuns(const std::string& aTarget,
                        Instant aSince = Instant::min()) const;

  /** Advances the time. */
  void Run(Duration aTime);

  /** Returns the max number of arrivals at the host's server in 4 s that begin
      at aSince or later. */
  std::size_t MaxArrivals(std::size_t aHost, Instant aSince) const;

  std::vector<Host> m_hosts;
  InProcessPlatform m_platform;
  Instant m_now{ Seconds(100) };
  std::size_t m_served = 0;
  std::size_t m_refused = 0;
  /** Served requests by their target. */
  std::map<std::string, std::size_t> m_servedByTarget;
  /** Requests with these targets crash each server that runs them. */
  std::set<std::string> m_crashingTargets;
  /** Times at which a request with the target crashed a server. */
  std::map<std::string, std::vector<Instant>> m_crashes;
  Duration m_serverDownTime = Seconds(3);
  /** The platform answers no call. */
  bool m_isPlatformAway = false;

private:
  /* A forwarded request: where it began and to which process it went. */
  struct Forward
  {
    std::size_t m_origin = 0;
    std::uint64_t m_originStart = 0;
    CallId m_call{};
  };

  void After(Duration aDelay, std::function<void()> aFunction);
  void Feed(std::size_t aHost, const RelayEvent& aEvent);
  void Execute(std::size_t aHost, const RelayAction& aAction);
  void ExecuteForward(std::size_t aHost, const ForwardRequest& aForward);
  void ExecuteDispatch(std::size_t aHost, const DispatchRequest& aDispatch);
  void ExecuteStoreCall(std::size_t aHost, const RelayCallStore& aCall);
  void ExecuteFetch(std::size_t aHost, const FetchPeerRoutes& aFetch);
  std::size_t FindHost(const Endpoint& aPeer) const;
  void AnswerWatches();
  std::string TargetOf(CallId aCall) const;

  const std::vector<RouteDescription> m_routes;
  std::multimap<Instant, std::function<void()>> m_queue;
  std::map<CallId, Forward> m_forwards;
  std::map<CallId, std::string> m_targets;
  std::vector<std::function<bool()>> m_watches;
  std::uint64_t m_calls = 0;
  Random m_random{ 7 };
};

}
