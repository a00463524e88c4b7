#pragma once

#include <optional>

#include "cr_admission/cr_admission.h"
#include "cr_routes/cr_routes.h"

namespace cr {

/** Admission control for the requests of one route from customers: limits the
    share of admitted requests and the number in flight, and recognizes
    customers that retry after a refusal. Not thread safe.
    @see AdmittedShare, InFlightBound */
class RouteAdmission
{
public:
  /** Returns whether a request with the caller timeout is admitted; End() must
      be called for an admitted one. aUnit is a random number in [0, 1). */
  bool Admit(const RouteDescription& aRoute,
             std::optional<Duration> aCallerTimeout,
             double aUnit,
             Instant aNow);

  /** Releases an admitted request that has ended. */
  void End() { m_bound.End(); }

  /** Records the max load on the path of an admitted request, and its
      latency. */
  void RecordLoad(const RouteDescription& aRoute,
                  double aLoad,
                  Duration aLatency,
                  Instant aNow);

  //==========================================================================
  /** Returns the share of the requests that is admitted. */
  double Share() const { return m_share.Share(); }

  /** Returns the limit of requests in flight. */
  double Bound() const { return m_bound.Bound(); }

private:
  bool IsReturning(Duration aCallerTimeout);

  AdmittedShare m_share{ 1 };
  InFlightBound m_bound;
  /* Caller timeout of most requests, and the confidence in it. */
  Duration m_typicalTimeout = Duration::zero();
  int m_timeoutConfidence = 0;
};

}
