#pragma once

namespace cr {

/** Mechanisms that an experiment may switch off, one by one, to measure what
    each gains, or all together, to run the naive version: one first-come queue
    with a fixed limit, a random instance, and retries at every layer.

    Nodes in service run with all of them on. */
struct PolicySwitches
{
  /** Waiting calls are ordered by importance. */
  bool m_importance = true;
  /** Within an importance, by the request's cohort. */
  bool m_cohorts = true;
  /** Work already begun elsewhere goes first. */
  bool m_begunFirst = true;
  /** Under overload the newest call goes first. */
  bool m_newestFirst = true;
  /** The limit follows measured latency, under the announced slots. */
  bool m_adaptiveLimit = true;
  /** Calls that cannot meet their deadline are not handed over. */
  bool m_deadlineDrop = true;
  /** Callers' nodes refuse by the admission level that gates return. */
  bool m_levelFeedback = true;
  /** One total of attempts for each customer request. */
  bool m_attemptTotal = true;
  /** A retry quota for each service, as a share of successes. */
  bool m_retryQuota = true;
  /** The better of two random hosts instead of one random host. */
  bool m_twoChoices = true;
  /** Hosts of the own data centre first. */
  bool m_ownDataCentreFirst = true;
  /** Hosts whose attempts fail are left out for a while. */
  bool m_ejection = true;
  /** Work below a call that ended is cancelled. */
  bool m_cancellation = true;
  /** Requests that servers died of are refused. */
  bool m_suspects = true;
};

/** Returns the switches of the naive version: all off. Thread safe. */
constexpr PolicySwitches
NaivePolicy()
{
  return { false, false, false, false, false, false, false,
           false, false, false, false, false, false, false };
}

}
