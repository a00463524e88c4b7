#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cr_Deployment.h"

namespace cr {

/** Load and faults of one trial. All times are virtual. */
struct TrialScenario
{
  std::string m_name;
  /** Offered load outside the trigger, relative to the bottleneck's capacity.
   */
  double m_load = 0.6;
  /** Interval of the trigger. There is no trigger if its length is zero. */
  Duration m_triggerStart = Duration::zero();
  Duration m_triggerLength = Duration::zero();
  /** Offered load during the trigger. */
  double m_triggerLoad = 0.6;
  /** Factor applied to the bottleneck's service time during the trigger. */
  int m_slowFactor = 1;
  /** Customers retry with a short backoff and more often during the trigger. */
  bool m_isRetryStorm = false;
  Duration m_length = Seconds(6);
};

/** A named combination of policy switches. */
struct NamedPolicy
{
  std::string m_name;
  PolicySwitches m_switches;
};

/** Measurements of one trial. */
struct TrialResult
{
  /** Slot time of completed requests, as a share of the bottleneck's capacity
      or of the offered load, whichever is less. */
  double m_goodput = 0.0;
  /** Share of requests of Importance::Protected that completed. */
  double m_protected = 0.0;
  /** Share of the servers' time spent on requests that did not complete. */
  double m_wasted = 0.0;
  /** Number of requests that made more attempts than their attempt budget. */
  std::uint64_t m_overAttempts = 0;
  /** Calls refused at a full gate although a less important call waited there
      or was dispatched after they had arrived. */
  std::uint64_t m_inversions = 0;
  /** Time from the end of the trigger until goodput stays normal; empty if the
      scenario has no trigger. */
  std::optional<double> m_recoverySeconds;
};

/** Returns the scenarios in the order in which they are reported. */
std::vector<TrialScenario>
AllScenarios();

/** Returns the full policy, the naive policy, and for each switch the full
    policy with just that switch off. */
std::vector<NamedPolicy>
AllPolicies();

/** Runs one trial; the same seed gives the same result. Thread safe. */
TrialResult
RunTrial(const Deployment& aDeployment,
         const TrialScenario& aScenario,
         const PolicySwitches& aPolicy,
         std::uint64_t aSeed);

}
