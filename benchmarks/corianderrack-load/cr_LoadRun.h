#pragma once

#include <memory>
#include <string>

#include "cr_FleetUsage.h"
#include "cr_LoadResult.h"
#include "cr_Scenario.h"
#include "cr_ServerFleet.h"

namespace cr {

/** Results of one experiment. */
struct LoadResult
{
  StreamResults m_streams;
  ServerFleetRecord m_servers;
  FleetUsage m_idle;
  FleetUsage m_loaded;
  /** Max delay of an arrival after its planned time. */
  Duration m_maxLag = Duration::zero();
};

/** Runs one experiment. The platform and the backend servers run in this
    process, the nodes in separate processes. Arrivals are open-loop and derived
    from the seed. */
class LoadRun
{
public:
  /** The configuration gives the operations and their expected answers. */
  LoadRun(Scenario aScenario, Configuration aConfiguration);
  ~LoadRun();
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  //==========================================================================
  /** Starts the platform and the backend servers. */
  Expected<void> StartStandIns();

  /** Waits until every node has a configuration, sees all hosts and, for a
      service with operations that are not idempotent, sees an owner of every
      partition. Fails with TimedOut after the limit. */
  Expected<void> WaitForNodes(Duration aLimit);

  /** Measures idle nodes for the idle time, sends the load, applies the
      triggers and waits for the answers. */
  LoadResult SendLoad();

private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}
