#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cr_Scenario.h"

namespace cr {

/** One customer request that is to be sent at a time after the start. */
struct Arrival
{
  Duration m_at = Duration::zero();
  OperationName m_operation;
  RequestId m_request;
  std::uint64_t m_keyHigh = 0;
  std::uint64_t m_keyLow = 0;
  /** Seed of the customer's own choices. */
  std::uint64_t m_seed = 0;
  std::string m_body;
};

/** Body of a request that ends the stand-in server that runs it. */
inline constexpr std::string_view kCrashBody = "crash";

/** Plans all arrivals of the scenario, in the order of their times. They do not
    depend on how the system answers. The same seed gives the same arrivals.
    Thread safe. */
std::vector<Arrival>
PlanArrivals(const Scenario& aScenario);

}
