#pragma once

#include "cr_core/cr_core.h"

namespace cr {

/** Bounds the requests of a route that a node has in progress while the load on
    their way is not known yet, or has just grown.

    A share of what arrives settles only after requests have run to their end;
    what was let in until then queues at the busiest backend server, and makes
    all later ones late. So the bound starts with a few requests, doubles with
    each interval of news of free room (the slow start of TCP, Jacobson 1988),
    and falls with the load above the target. While the load is in order it
    stays well above what is in progress. Not thread safe. */
class InFlightBound
{
public:
  /** Requests in progress that are let in without any news, and at least. */
  static constexpr double kLeast = 8;

  /** Returns whether one more request may begin. */
  bool HasRoom() const { return m_inFlight < m_bound; }

  /** Counts a request that begins. */
  void Begin();

  /** Counts the end of a request that began. */
  void End();

  /** Learns the greatest load on the way of a request, and the load that is
      aimed at. @see OfferedLoad */
  void Learn(double aLoad, double aTarget, Instant aNow);

  //==========================================================================
  /** Returns the bound, in requests. */
  double Bound() const { return m_bound; }

private:
  void EndInterval(double aTarget);

  double m_bound = kLeast;
  int m_inFlight = 0;
  int m_mostInFlight = 0;
  double m_loadSum = 0;
  int m_loadCount = 0;
  Instant m_intervalEnd;
};

}
