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

/** Times of the first and of the latest failed connection to a host. */
struct UnreachableHost
{
  Instant m_since;
  Instant m_lastFailure;
};

/** State that the flows of a relaying node share. Not thread safe. */
struct RelayShared
{
  explicit RelayShared(RelaySettings aSettings)
    : m_settings(std::move(aSettings))
    , m_suspects(Hash(m_settings.m_host, m_settings.m_seed))
  {
  }

  /** Returns the max path load of the child calls that the host's backend
      server makes for requests of the route; 0 if there are none. */
  double DownstreamLoad(const std::string& aRoute, Instant aNow) const;

  const RelaySettings m_settings;
  RouteHolder m_routes;
  FleetDirectory m_directory;
  std::map<std::string, Router, std::less<>> m_routers;
  /** Reported path load of the child calls, by route. */
  std::map<std::string, LoadAverage, std::less<>> m_pathLoads;
  /** Routes by which backend servers call each other, as gates report. */
  std::set<std::string, std::less<>> m_calledRoutes;
  /** Number of nodes by service. */
  RouteOrigins::HostCounts m_hostCounts;
  /** Child calls that the host's backend server makes. */
  CallPattern m_pattern;
  /** Last reports about the backend servers of other hosts that have a rate
      limit or are leaving. */
  std::map<HostName, ServerReport> m_serverReports;
  /** Hosts to which the latest connection attempt failed. */
  std::map<HostName, UnreachableHost> m_unreachableHosts;
  /** Requests during which backend servers of any service crashed. */
  SuspectTable m_suspects;
  /** The node is shutting down. */
  bool m_isLeaving = false;
};

}
