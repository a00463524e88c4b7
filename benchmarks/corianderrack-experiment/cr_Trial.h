#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cr_Deployment.h"

namespace cr {

/** What happens to a mesh in a trial, in virtual time. */
struct TrialScenario
{
  std::string m_name;
  /** Offered load relative to the bottleneck's capacity, outside the trigger.
   */
  double m_load = 0.6;
  /** The trigger, from its start to its end; none when it has no length. */
  Duration m_triggerStart = Duration::zero();
  Duration m_triggerLength = Duration::zero();
  /** Offered load during the trigger. */
  double m_triggerLoad = 0.6;
  /** Factor of the bottleneck's service time during the trigger. */
  int m_slowFactor = 1;
  /** Customers resend at once and often during the trigger. */
  bool m_stormyCustomers = false;
  Duration m_length = Seconds(6);
};

/** A set of policy switches with a name. */
struct NamedPolicy
{
  std::string m_name;
  PolicySwitches m_switches;
};

/** What a trial measured. */
struct TrialResult
{
  /** Slot time of whole requests that completed, as a share of what the
      bottleneck's slots offer, or of the offered load where that is less. */
  double m_goodput = 0.0;
  /** Share of protected requests that completed. */
  double m_protected = 0.0;
  /** Share of the servers' time spent on requests that did not complete. */
  double m_wasted = 0.0;
  /** Requests with more attempts than their total. */
  std::uint64_t m_overAttempts = 0;
  std::uint64_t m_inversions = 0;
  /** Time from the end of the trigger until goodput stays normal; nothing when
      the scenario has no trigger. */
  std::optional<double> m_recoverySeconds;
};

/** The scenarios, in the order in which they are reported. */
std::vector<TrialScenario>
AllScenarios();

/** The whole policy, the naive one, and the whole one with each switch off. */
std::vector<NamedPolicy>
AllPolicies();

/** Runs one trial; the same seed gives the same result. Thread safe. */
TrialResult
RunTrial(const Deployment& aDeployment,
         const TrialScenario& aScenario,
         const PolicySwitches& aPolicy,
         std::uint64_t aSeed);

}
