#pragma once

#include <map>
#include <set>
#include <string>

#include "cr_admission/cr_admission.h"
#include "cr_membership/cr_membership.h"
#include "cr_relay/event/cr_RelayTypes.h"
#include "cr_relay/flow/cr_LoadAverage.h"
#include "cr_routes/cr_routes.h"
#include "cr_routing/cr_routing.h"

namespace cr {

/** Since when a host could not be connected to, and when that was last tried.
 */
struct Unreached
{
  Instant m_since;
  Instant m_latest;
};

/** What the flows of a relaying node share. Not thread safe. */
struct RelayShared
{
  explicit RelayShared(RelaySettings aSettings)
    : m_settings(std::move(aSettings))
  {
  }

  /** Returns the load on the way of the requests of a route that the host's
      backend server runs: that of the calls which it makes for them. */
  double LoadBelow(const std::string& aRoute, Instant aNow) const;

  const RelaySettings m_settings;
  RouteHolder m_routes;
  FleetDirectory m_directory;
  std::map<std::string, Router, std::less<>> m_routers;
  /** Greatest load on the way of the requests of each route, as told. */
  std::map<std::string, LoadAverage, std::less<>> m_pathLoads;
  /** Routes by which backend servers call each other, as gates tell. */
  std::set<std::string, std::less<>> m_calledRoutes;
  /** Number of nodes by service. */
  RouteOrigins::HostCounts m_hostCounts;
  /** Calls that the host's backend server makes. */
  CallPattern m_pattern;
  /** Hosts that could not be connected to. */
  std::map<HostName, Unreached> m_unreached;
  /** The node was told to end. */
  bool m_isLeaving = false;
};

}
