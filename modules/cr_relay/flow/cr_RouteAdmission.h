#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "cr_admission/cr_admission.h"
#include "cr_routes/cr_routes.h"

namespace cr {

/** The limit because of which a request was not admitted. */
enum class AdmissionLimit : std::uint8_t
{
  None,
  /** The admitted share of the route. @see AdmittedShare */
  Share,
  /** The requests of the route that the node may have in flight. @see
      InFlightBound */
  InFlight
};

/** Returns the name of the limit in logs and metrics. Thread safe. */
std::string_view
ToText(AdmissionLimit aLimit);

/** What was decided on the requests of a route since the last report. */
struct AdmissionCounts
{
  std::uint32_t m_admitted = 0;
  std::uint32_t m_aboveShare = 0;
  std::uint32_t m_aboveInFlight = 0;
  /** Sum and number of the reported loads. */
  double m_loadSum = 0;
  std::uint32_t m_loads = 0;
};

/** Load at which the services on the path of customers' requests are kept. */
inline constexpr double kTargetLoad = 1.0;

/** Admission control for the requests of one route from customers: limits the
    share of admitted requests and the number in flight, and recognizes
    customers that retry after a refusal. Not thread safe.
    @see BottleneckShares, InFlightBound */
class RouteAdmission
{
public:
  /** Admits a request with the caller timeout, or returns the limit that
      refuses it; End() must be called for an admitted one. aShare is the share
      of the route's requests that is admitted, aUnit a random number in
      [0, 1). */
  AdmissionLimit Admit(std::optional<Duration> aCallerTimeout,
                       double aShare,
                       double aUnit);

  /** Releases an admitted request that has ended. */
  void End() { m_bound.End(); }

  /** Records the max load on the path of an admitted request. */
  void RecordLoad(double aLoad, Instant aNow);

  /** Returns the counts since the last call, and resets them. */
  AdmissionCounts TakeCounts() { return std::exchange(m_counts, {}); }

  //==========================================================================
  /** Returns the share that was admitted at the latest request. */
  double Share() const { return m_share; }

  /** Returns the limit of requests in flight. */
  double Bound() const { return m_bound.Bound(); }

  /** Returns the number of admitted requests that have not ended. */
  int InFlight() const { return m_bound.InFlight(); }

private:
  bool IsReturning(Duration aCallerTimeout);

  double m_share = 1;
  ReturningFirst m_selection;
  InFlightBound m_bound;
  /* Caller timeout of most requests, and the confidence in it. */
  Duration m_typicalTimeout = Duration::zero();
  int m_timeoutConfidence = 0;
  AdmissionCounts m_counts;
};

}
