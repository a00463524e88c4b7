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

/** Arrivals of one operation. */
struct ScenarioStream
{
  OperationName m_operation;
  std::int64_t m_perSecond = 0;
  SourceLocation m_place;
};

/** How customers behave. A resend carries the same request identifier and the
    same idempotency key. */
struct CustomerBehaviour
{
  /** Tries of one request, the first included. */
  std::uint32_t m_tries = 1;
  /** Longest wait for the answer of one try. */
  Duration m_tryTimeout = Seconds(10);
  /** Time from the first try after which nothing is sent any more. */
  Duration m_patience = Seconds(10);
  /** Mean time before a resend. */
  Duration m_backOff = Milliseconds(50);
};

/** How arrivals are spread. */
enum class Spread : std::uint8_t
{
  /** Exponential distances. */
  Random,
  /** One arrival at a random time in each interval of the rate, so that counts
      over a window are nearly constant. */
  Even
};

/** An experiment: hosts, service files, customers, arrivals and triggers. */
struct Scenario
{
  std::string m_name;
  std::uint64_t m_seed = 0;
  std::string m_address;
  std::uint16_t m_platformPort = 0;
  /** Relative to the scenario file. */
  std::vector<std::string> m_serviceFiles;
  Duration m_serviceTime = Milliseconds(1);
  Duration m_length = Seconds(1);
  /** Time without calls before the load, for the use of idle nodes. */
  Duration m_idle = Duration::zero();
  Spread m_spread = Spread::Random;
  CustomerBehaviour m_customers;
  std::vector<ScenarioHost> m_hosts;
  std::vector<ScenarioStream> m_streams;
  std::vector<Trigger> m_triggers;
  /** Service whose slots limit the goodput; empty when none is measured. */
  std::string m_bottleneck;
  /** Measures to be printed with their targets. @see WriteMeasures */
  std::vector<std::string> m_measures;

  /** Returns the start of the first trigger; the length when there is none. */
  Duration FirstTriggerStart() const;

  /** Returns the end of the last trigger; the length when there is none. */
  Duration LastTriggerEnd() const;
};

/** Reads a scenario. Faults are added to the findings. Thread safe. */
Scenario
ParseScenario(std::string_view aFile,
              std::string_view aText,
              Findings& aFindings);

/** Checks that hosts, streams and triggers name what the service files and the
    scenario have. Faults are added to the findings. Thread safe. */
void
CheckScenario(const Scenario& aScenario,
              const Configuration& aConfiguration,
              Findings& aFindings);

}
