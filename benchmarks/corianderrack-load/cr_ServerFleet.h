#pragma once

#include <memory>
#include <vector>

#include "cr_Scenario.h"
#include "server_stand_in/server_stand_in.h"

namespace cr {

/** Totals over all backend servers of an experiment. */
struct ServerFleetRecord
{
  std::uint64_t m_runs = 0;
  std::uint64_t m_doubleRuns = 0;
  std::uint64_t m_crashes = 0;
  /** Runs that started on a leaving server later than kLeaveNotice. */
  std::uint64_t m_runsAfterLeave = 0;
};

/** Time after which a leaving server must not get new calls. */
inline constexpr Duration kLeaveNotice = Seconds(3);

/** Runs the backend servers of an experiment. A crashed server is restarted as
    a new instance. Not thread safe. */
class ServerFleet
{
public:
  /** The threads must outlive the fleet. */
  ServerFleet(IoThreads& aThreads,
              const Scenario& aScenario,
              const Configuration& aConfiguration);

  //==========================================================================
  /** Starts a server on each host. */
  Expected<void> Start();

  /** Applies the triggers that are active at the given time since the start of
      the load, and restarts crashed servers. */
  void Advance(Duration aTime);

  //==========================================================================
  /** Returns the totals so far. */
  ServerFleetRecord Record() const;

private:
  struct Server
  {
    std::unique_ptr<BackendServer> m_server;
    std::uint64_t m_instance = 0;
    std::optional<Duration> m_stoppedAt;
    std::optional<Duration> m_leftAt;
    std::optional<std::uint64_t> m_runsAtNotice;
  };

  Expected<void> StartServer(std::size_t aHost);
  void AdvanceLeave(std::size_t aHost, Duration aTime);
  void AdvanceCrash(std::size_t aHost, Duration aTime);
  void Retire(Server& aServer);
  BackendServerFaults FaultsAt(const ScenarioHost& aHost, Duration aTime) const;
  bool IsLeaving(const ScenarioHost& aHost, Duration aTime) const;

  IoThreads& m_threads;
  const Scenario& m_scenario;
  const Configuration& m_configuration;
  std::vector<Server> m_servers;
  RunKeysPointer m_runKeys = std::make_shared<RunKeys>();
  /** Totals of the servers that have stopped. */
  ServerFleetRecord m_retired;
};

}
