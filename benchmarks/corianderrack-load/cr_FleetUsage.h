#pragma once

#include <map>

#include "cr_Scenario.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** Resource usage of the node processes since their start, by host. */
struct FleetSnapshot
{
  struct Node
  {
    Duration m_processor = Duration::zero();
    std::uint64_t m_residentBytes = 0;
    std::uint64_t m_controlBytes = 0;
  };

  Instant m_takenAt;
  std::map<HostName, Node> m_nodes;
};

/** Mean resource usage per node over an interval, and the max memory of any
    node. */
struct FleetUsage
{
  double m_processorShare = 0;
  double m_controlBytesPerSecond = 0;
  std::uint64_t m_maxResidentBytes = 0;
};

/** Queries the status of every node. Nodes that do not answer are omitted. Must
    not be called on an I/O thread. */
FleetSnapshot
FetchSnapshot(HttpClient& aClient, const Scenario& aScenario);

/** Returns the usage between two snapshots, over the nodes that are in both.
    Thread safe. */
FleetUsage
UsageBetween(const FleetSnapshot& aFirst, const FleetSnapshot& aSecond);

}
