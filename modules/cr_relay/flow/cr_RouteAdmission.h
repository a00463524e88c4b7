#pragma once

#include <optional>

#include "cr_admission/cr_admission.h"
#include "cr_routes/cr_routes.h"

namespace cr {

/** Which of a route's requests from customers a node lets in: the share and the
    bound of those in progress, and who is known to have come back. Not thread
    safe. @see AdmittedShare, InFlightBound */
class RouteAdmission
{
public:
  /** Returns whether a request with the patience is let in; End() must follow
      then. aUnit is a random number in [0, 1). */
  bool Admit(const RouteDescription& aRoute,
             std::optional<Duration> aPatience,
             double aUnit,
             Instant aNow);

  /** A request that was let in has ended. */
  void End() { m_bound.End(); }

  /** Learns the greatest load on the way of a request that was let in. */
  void Learn(const RouteDescription& aRoute,
             double aLoad,
             Duration aLatency,
             Instant aNow);

  //==========================================================================
  /** Returns the share of the requests that is let in. */
  double Share() const { return m_share.Share(); }

  /** Returns the bound of the requests in progress. */
  double Bound() const { return m_bound.Bound(); }

private:
  bool IsReturning(Duration aPatience);

  AdmittedShare m_share{ 1 };
  InFlightBound m_bound;
  /* The patience that most requests come with, and how sure that is. */
  Duration m_usualPatience = Duration::zero();
  int m_usualCount = 0;
};

}
