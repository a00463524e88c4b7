#pragma once

#include "cr_core/cr_core.h"

namespace cr {

/** Bounds the requests of a route that a node has in flight while the load on
    their path is unknown or has just risen.

    AdmittedShare adapts only after requests have completed. Until then all
    admitted requests queue at the busiest backend server and delay all later
    ones. So the bound starts small, doubles in each interval with the load at
    or below the target (the slow start of TCP, Jacobson 1988), and falls with
    the load above the target. At normal load it stays well above the number of
    requests in flight. Not thread safe. */
class InFlightBound
{
public:
  /** Initial and minimum bound, in requests. */
  static constexpr double kMinBound = 8;

  /** Returns whether one more request may start. */
  bool HasCapacity() const { return m_inFlight < m_bound; }

  /** Counts the start of a request. */
  void Begin();

  /** Counts the end of a request. */
  void End();

  /** Records the maximum load on the path of a request; aTarget is the target
      load. @see OfferedLoad */
  void RecordLoad(double aLoad, double aTarget, Instant aNow);

  //==========================================================================
  /** Returns the bound, in requests. */
  double Bound() const { return m_bound; }

  /** Returns the number of requests in flight. */
  int InFlight() const { return m_inFlight; }

private:
  void EndInterval(double aTarget);

  double m_bound = kMinBound;
  int m_inFlight = 0;
  int m_maxInFlight = 0;
  double m_loadSum = 0;
  int m_loadCount = 0;
  Instant m_intervalEnd;
};

}
