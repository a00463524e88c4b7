#pragma once

#include <memory>
#include <string>

#include "cr_FleetUsage.h"
#include "cr_LoadResult.h"
#include "cr_Scenario.h"
#include "cr_ServerFleet.h"

namespace cr {

/** Everything that one experiment brought. */
struct LoadResult
{
  StreamResults m_streams;
  ServerFleetRecord m_servers;
  FleetUsage m_idle;
  FleetUsage m_loaded;
  /** Greatest delay of an arrival behind its planned time. */
  Duration m_greatestLag = Duration::zero();
};

/** Runs one experiment: the platform and the backend servers in this process,
    nodes in processes of their own, and open-loop arrivals from the seed. */
class LoadRun
{
public:
  /** The configuration names the operations and their expected answers. */
  LoadRun(Scenario aScenario, Configuration aConfiguration);
  ~LoadRun();
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  //==========================================================================
  /** Starts the platform and the backend servers. */
  Expected<void> StartStandIns();

  /** Waits until every node has a configuration, knows all hosts and, where
      operations are not idempotent, knows owners of all keys. */
  Expected<void> WaitForNodes(Duration aLimit);

  /** Waits for the idle time, sends the load with its triggers and waits for
      the answers. */
  LoadResult SendLoad();

private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}
