#pragma once

#include "cr_core/cr_core.h"

namespace cr {

/** How a customer's request stands in its route, for AdmittedShare. */
struct ShareRequest
{
  /** The customer was refused before and has come back. */
  bool m_isReturning = false;
  /** A random number in [0, 1). */
  double m_unit = 0;
};

/** The share of a route's requests that a node lets in, so that the busiest
    backend server on their way runs full and no work above it is in vain.

    At fixed intervals the share is multiplied by (target / load) to the power
    of one half, within bounds: half of the step that would do if nothing else
    changed, since other nodes take it too and its effect comes back late.
    Customers that return are let in first, and newcomers get what is left. Not
    thread safe. */
class AdmittedShare
{
public:
  /** The target is the load that the share aims at. */
  explicit AdmittedShare(double aTarget)
    : m_target(aTarget)
  {
  }

  /** Changes the load that the share aims at. */
  void SetTarget(double aTarget) { m_target = aTarget; }

  /** Learns the greatest load on the way of a request. @see OfferedLoad */
  void Learn(double aLoad, Instant aNow);

  /** Returns whether the request is let in, and counts it. */
  bool Admit(const ShareRequest& aRequest, Instant aNow);

  //==========================================================================
  /** Returns the share of all requests that is let in, in (0, 1]. */
  double Share() const { return m_share; }

private:
  void Advance(Instant aNow);

  double m_target;
  double m_share = 1;
  double m_loadSum = 0;
  int m_loadCount = 0;
  Instant m_intervalEnd;
  /* Part of the requests that come from returning customers. */
  double m_returning = 0;
};

}
