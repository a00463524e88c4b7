#pragma once

#include <algorithm>
#include <deque>

#include "cr_core/cr_core.h"

namespace cr {

/** The share of the demand for a backend service that a node admits, so that
   the service is fully used and no work of the services that call it is wasted.

    A reported load is the effect of an earlier share: requests take time to
    reach the busiest server, its load is a mean, and the report takes time to
    return. So at fixed intervals the new share is that earlier share times
    (target / load), damped (the idea of the Smith predictor, 1957). Computing
    the step from the current share would oscillate. Not thread safe. */
class AdmittedShare
{
public:
  /** aTarget is the target load. */
  explicit AdmittedShare(double aTarget)
    : m_target(aTarget)
  {
  }

  /** Records the maximum load on the path of a request, and the time from the
      request's arrival to its answer. @see OfferedLoad */
  void RecordLoad(double aLoad, Duration aLatency, Instant aNow);

  /** Updates the share if an interval has ended, and returns whether one has.
   */
  bool Advance(Instant aNow);

  //==========================================================================
  /** Returns the admitted share of the demand, in (0, 1]. */
  double Share() const { return std::min(m_share, 1.0); }

  /** Returns the work that may be admitted relative to the demand; above 1 if
      there is capacity for more. */
  double Capacity() const { return m_share; }

private:
  /* A share and the time since when it is active. */
  struct Step
  {
    Instant m_since;
    double m_share = 1;
  };

  double ShareAt(Instant aTime) const;

  double m_target;
  double m_share = 1;
  std::deque<Step> m_steps;
  double m_loadSum = 0;
  Duration m_latencySum = Duration::zero();
  int m_loadCount = 0;
  Instant m_intervalEnd;
};

}
