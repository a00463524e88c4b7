#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cr_ScenarioHost.h"
#include "cr_ScenarioTrigger.h"
#include "cr_configuration/cr_configuration.h"
#include "cr_core/cr_core.h"
#include "cr_settings/cr_settings.h"

namespace cr {

/** Arrival rate of one operation. */
struct ScenarioStream
{
  OperationName m_operation;
  std::int64_t m_perSecond = 0;
  SourceLocation m_place;
};

/** Retry settings of the customers. A retry carries the same request identifier
    and the same idempotency key. */
struct CustomerBehaviour
{
  /** Max attempts of one request, including the first. */
  std::uint32_t m_attempts = 1;
  /** Timeout of one attempt. */
  Duration m_attemptTimeout = Seconds(10);
  /** Timeout of the entire request, from the first attempt. No attempt starts
      after it. */
  Duration m_callerTimeout = Seconds(10);
  /** Mean backoff before a retry. */
  Duration m_backoff = Milliseconds(50);
};

/** Distribution of arrival times. */
enum class Spread : std::uint8_t
{
  /** Exponential inter-arrival times. */
  Random,
  /** One arrival at a random time in each interval of 1/rate, so that the
      number of arrivals in a window is nearly constant. */
  Even
};

/** Describes an experiment: hosts, service files, customers, arrivals and
    triggers. */
struct Scenario
{
  std::string m_name;
  std::uint64_t m_seed = 0;
  std::string m_address;
  std::uint16_t m_platformPort = 0;
  /** Paths relative to the scenario file. */
  std::vector<std::string> m_serviceFiles;
  Duration m_serviceTime = Milliseconds(1);
  Duration m_length = Seconds(1);
  /** Time without calls before the load, to measure the usage of idle nodes. */
  Duration m_idle = Duration::zero();
  Spread m_spread = Spread::Random;
  CustomerBehaviour m_customers;
  std::vector<ScenarioHost> m_hosts;
  std::vector<ScenarioStream> m_streams;
  std::vector<Trigger> m_triggers;
  /** Service whose slots limit the goodput; empty if goodput is not measured.
   */
  std::string m_bottleneck;
  /** Names of the measures to print. @see ComputeMeasures */
  std::vector<std::string> m_measures;

  /** Returns the start of the first trigger, or m_length if there is none. */
  Duration FirstTriggerStart() const;

  /** Returns the end of the last trigger, or m_length if there is none. */
  Duration LastTriggerEnd() const;
};

/** Reads a scenario. Errors are added to the findings. Thread safe. */
Scenario
ParseScenario(std::string_view aFile,
              std::string_view aText,
              Findings& aFindings);

/** Checks that streams and triggers refer to services, operations and hosts
    that exist, and that triggers end before the load. Errors are added to the
    findings. Thread safe. */
void
CheckScenario(const Scenario& aScenario,
              const Configuration& aConfiguration,
              Findings& aFindings);

}
