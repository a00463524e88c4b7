#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cr_Scenario.h"

namespace cr {

/** A planned customer request and its time since the start of the load. */
struct Arrival
{
  Duration m_at = Duration::zero();
  OperationName m_operation;
  RequestId m_request;
  std::uint64_t m_keyHigh = 0;
  std::uint64_t m_keyLow = 0;
  /** Seed of the customer's random choices. */
  std::uint64_t m_seed = 0;
  std::string m_body;
};

/** Body of a request that crashes the stand-in server that runs it. */
inline constexpr std::string_view kCrashBody = "crash";

/** Returns all arrivals of the scenario, sorted by time. The load is open-loop:
    arrivals do not depend on the answers. The same seed gives the same
    arrivals. Thread safe. */
std::vector<Arrival>
PlanArrivals(const Scenario& aScenario);

}
