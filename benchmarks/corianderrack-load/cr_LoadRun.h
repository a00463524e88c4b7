#pragma once

#include <map>
#include <memory>
#include <string>

#include "cr_Scenario.h"
#include "cr_configuration/cr_configuration.h"

namespace cr {

/** How the requests of one operation ended. */
struct StreamResult
{
  std::uint64_t m_sent = 0;
  /** Whole and correct answers. */
  std::uint64_t m_completed = 0;
  std::uint64_t m_notRun = 0;
  std::uint64_t m_unknown = 0;
  /** Answers that were not the whole answer to their own request. */
  std::uint64_t m_wrong = 0;
  /** The server answered that it could not finish. */
  std::uint64_t m_failed = 0;
  std::uint64_t m_noAnswer = 0;
  std::vector<Duration> m_latencies;
};

/** Results by operation. */
using LoadResult = std::map<OperationName, StreamResult>;

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

  /** Waits until every node has a configuration and knows all hosts. */
  Expected<void> WaitForNodes(Duration aLimit);

  /** Sends the load and waits for its answers. */
  LoadResult SendLoad();

  //==========================================================================
  /** Returns the second and further runs of idempotency keys. */
  std::uint64_t DoubleRuns() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}
