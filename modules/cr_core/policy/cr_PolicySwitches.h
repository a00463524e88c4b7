#pragma once

namespace cr {

/** Feature switches for experiments. Switching off one mechanism measures its
    effect; switching off all gives the naive baseline: one FIFO queue with a
    fixed concurrency limit, random host selection, and retries at every layer.

    Production nodes run with all mechanisms on. */
struct PolicySwitches
{
  /** Orders waiting calls by importance. */
  bool m_importance = true;
  /** Orders waiting calls of equal importance by the request's cohort. */
  bool m_cohorts = true;
  /** Serves child calls before calls that enter the system. */
  bool m_childCallsFirst = true;
  /** Serves the newest call first under overload. */
  bool m_newestFirst = true;
  /** Adapts the concurrency limit to the measured latency, up to the number of
      slots that the backend server announces. */
  bool m_adaptiveLimit = true;
  /** Drops calls that cannot meet their deadline instead of dispatching
      them. */
  bool m_deadlineDrop = true;
  /** Makes the calling nodes refuse calls below the admission level that gates
      return. */
  bool m_levelFeedback = true;
  /** Limits each customer request to one attempt budget for its call tree. */
  bool m_requestAttemptBudget = true;
  /** Limits the retries to each service to a share of its successful calls. */
  bool m_retryQuota = true;
  /** Chooses the better of two random hosts (power of two choices) instead of
      one random host. */
  bool m_twoChoices = true;
  /** Prefers hosts in the node's own data centre. */
  bool m_ownDataCentreFirst = true;
  /** Temporarily ejects hosts whose attempts fail (outlier ejection). */
  bool m_ejection = true;
  /** Cancels the calls below a call that has ended. */
  bool m_cancellation = true;
  /** Refuses requests that are suspected of crashing backend servers. */
  bool m_suspects = true;
};

/** Returns the switches of the naive baseline: all off. Thread safe. */
constexpr PolicySwitches
NaivePolicy()
{
  return { false, false, false, false, false, false, false,
           false, false, false, false, false, false, false };
}

}
