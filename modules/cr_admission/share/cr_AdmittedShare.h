#pragma once

#include <deque>

#include "cr_core/cr_core.h"

namespace cr {

/** The properties of a customer's request that AdmittedShare uses. */
struct ShareRequest
{
  /** The customer was refused before and retries. */
  bool m_isReturning = false;
  /** A uniform random number in [0, 1). */
  double m_uniform = 0;
};

/** The share of a route's requests that a node admits, so that the busiest
    backend server on their path is fully used and no work of the services above
    it is wasted.

    A reported load is the effect of an earlier share: requests take time to
    reach the busiest server, its load is a mean, and the report takes time to
    return. So at fixed intervals the new share is that earlier share times
    (target / load), damped (the idea of the Smith predictor, 1957). Computing
    the step from the current share would oscillate. Returning customers are
    admitted first; new ones get the rest. Not thread safe. */
class AdmittedShare
{
public:
  /** aTarget is the target load. */
  explicit AdmittedShare(double aTarget)
    : m_target(aTarget)
  {
  }

  /** Changes the target load. */
  void SetTarget(double aTarget) { m_target = aTarget; }

  /** Records the maximum load on the path of a request, and the time from the
      request's arrival to its answer. @see OfferedLoad */
  void RecordLoad(double aLoad, Duration aLatency, Instant aNow);

  /** Returns whether the request is admitted, and counts it. */
  bool Admit(const ShareRequest& aRequest, Instant aNow);

  //==========================================================================
  /** Returns the admitted share of all requests, in (0, 1]. */
  double Share() const { return m_share; }

private:
  /* A share and the time since when it is active. */
  struct Step
  {
    Instant m_since;
    double m_share = 1;
  };

  void Advance(Instant aNow);
  double ShareAt(Instant aTime) const;

  double m_target;
  double m_share = 1;
  std::deque<Step> m_steps;
  double m_loadSum = 0;
  Duration m_latencySum = Duration::zero();
  int m_loadCount = 0;
  Instant m_intervalEnd;
  /* Mean share of the requests that come from returning customers. */
  double m_returning = 0;
};

}
