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

/** The most loaded service on the path of a request, as its gates report it. */
struct PathBottleneck
{
  std::string m_service;
  double m_load = 0;
  /** Time that one request takes in slots of the service. */
  Duration m_work = Duration::zero();
};

/** What the answers to child calls of a route report about their path. */
struct ChildCallPath
{
  LoadAverage m_load;
  /** Service and work of the latest report. */
  std::string m_bottleneck;
  Duration m_work = Duration::zero();
};

/** State that the flows of a relaying node share. Not thread safe. */
struct RelayShared
{
  explicit RelayShared(RelaySettings aSettings)
    : m_settings(std::move(aSettings))
    , m_suspects(Hash(m_settings.m_host, m_settings.m_seed))
  {
  }

  /** Returns the most loaded service on the paths of the child calls that the
      host's backend server makes for requests of the route; its load is 0 if
      there are none. */
  PathBottleneck DownstreamBottleneck(const std::string& aRoute,
                                      Instant aNow) const;

  const RelaySettings m_settings;
  RouteHolder m_routes;
  FleetDirectory m_directory;
  std::map<std::string, Router, std::less<>> m_routers;
  /** Reported paths of the child calls, by route. */
  std::map<std::string, ChildCallPath, std::less<>> m_childCallPaths;
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
