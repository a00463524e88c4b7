#pragma once

#include <map>
#include <string>

#include "cr_admission/share/cr_AdmittedShare.h"
#include "cr_admission/share/cr_DecayingSum.h"

namespace cr {

/** What a request told about the backend service on its path that limits it. */
struct BottleneckReport
{
  /** Load of the service. @see OfferedLoad */
  double m_load = 0;
  /** Time that one request of the route takes in slots of the service, its
      child calls included. */
  Duration m_work = Duration::zero();
  /** Time from the request's arrival to its answer. */
  Duration m_latency = Duration::zero();
  /** Priority of the route; 0 is the most urgent. */
  std::uint32_t m_priority = 0;
};

/** The admitted shares of all routes whose requests need the same limiting
    backend service, at one node.

    One share of the demanded work is regulated by the load of the service
    (AdmittedShare) and falls at once when the demand rises. It is divided among
    the routes in the order of their work per request, doubled with each step of
    priority: refusing one costly or less urgent request makes room for several
    cheap or urgent ones. If each route had a share and a target of its own, it
    would react to the load that the others cause, and the routes with the lower
    target would lose everything before the others lose anything. Not thread
    safe. */
class BottleneckShares
{
public:
  /** Creates shares that keep the load of the service at the target. */
  explicit BottleneckShares(double aTarget)
    : m_total(aTarget)
  {
  }

  /** Counts a request of the route that arrived, admitted or not. */
  void CountArrival(const std::string& aRoute, Instant aNow);

  /** Records what an answered request of the route reported. */
  void RecordReport(const std::string& aRoute,
                    const BottleneckReport& aReport,
                    Instant aNow);

  /** Returns the admitted share of the route, in (0, 1]; 1 for a route that has
      not reported the service for some time. */
  double ShareOf(const std::string& aRoute, Instant aNow);

  //==========================================================================
  /** Returns the admitted share of the demanded work of all routes. */
  double TotalShare() const { return m_total.Share(); }

  /** Returns whether no route has reported the service for some time. */
  bool IsUnused(Instant aNow) const;

private:
  /* Time over which the demand of all routes together is averaged. */
  static constexpr Duration kDemandWindow = Seconds(1);
  /* Time over which the demand of each route is averaged. Longer, as a route
     has few requests at one node, and chance changes of its part would refuse
     urgent requests. */
  static constexpr Duration kMixWindow = Seconds(4);
  /* A route that has reported another service, or nothing, for this time no
     longer counts. */
  static constexpr Duration kReportLifetime = Seconds(3);

  struct Route
  {
    bool IsOutdated(Instant aNow) const
    {
      return aNow - m_reported > kReportLifetime;
    }

    DecayingSum m_arrivals{ kMixWindow };
    Instant m_since;
    /* Mean time in slots per request, in seconds. */
    double m_work = 0;
    std::uint32_t m_priority = 0;
    Instant m_reported;
    double m_share = 1;
  };

  void Advance(Instant aNow);
  void Divide(Instant aNow);

  AdmittedShare m_total;
  /* Seconds of work that arrived. */
  DecayingSum m_demand{ kDemandWindow };
  Instant m_demandSince;
  std::map<std::string, Route, std::less<>> m_routes;
};

}
