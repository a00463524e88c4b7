#pragma once

#include <map>

#include "cr_Scenario.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** What the node processes have used since their start, by host. */
struct FleetSnapshot
{
  struct Node
  {
    Duration m_processor = Duration::zero();
    std::uint64_t m_residentBytes = 0;
    std::uint64_t m_controlBytes = 0;
  };

  Instant m_taken;
  std::map<HostName, Node> m_nodes;
};

/** Mean use of a node over an interval, and the greatest memory of any. */
struct FleetUsage
{
  double m_processorShare = 0;
  double m_controlBytesPerSecond = 0;
  std::uint64_t m_greatestResidentBytes = 0;
};

/** Asks every node for its status; nodes that do not answer are left out. Not
    from an I/O thread. */
FleetSnapshot
TakeSnapshot(HttpClient& aClient, const Scenario& aScenario);

/** Returns the use between two snapshots of nodes that are in both. Thread
    safe. */
FleetUsage
UsageBetween(const FleetSnapshot& aFirst, const FleetSnapshot& aSecond);

}
