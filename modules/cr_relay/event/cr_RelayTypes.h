#pragma once

#include <optional>
#include <string>

#include "cr_core/cr_core.h"
#include "cr_membership/cr_membership.h"
#include "cr_settings/cr_settings.h"
#include "cr_store/cr_store.h"
#include "cr_suspects/cr_suspects.h"

namespace cr {

/** Identity and settings of a relaying node; constant during the life of its
    process. */
struct RelaySettings
{
  HostName m_host;
  Incarnation m_incarnation{};
  std::string m_region;
  std::string m_dataCentre;
  /** Address for other nodes. */
  Endpoint m_peer;
  /** Service of the host's backend server. */
  std::string m_service;
  /** Row of the platform's tables that holds the route configuration. */
  RowKey m_routesRow;
  /** Seed of the random number generators. */
  std::uint64_t m_seed = 0;
  /** Retries per request that all nodes together may send. */
  double m_retryRatio = 0.1;
  /** Additional retries per window, over all nodes. */
  double m_retrySlack = 0;
  Duration m_retryWindow = Seconds(10);
  /** False for the naive baseline: a random host, no queue in front of the
      backend server, no admission control, no retry. */
  bool m_hasOverloadControl = true;
};

/** Metadata that a node sends to another one with a forwarded request. */
struct RelayHeader
{
  std::string m_service;
  /** Name of the request's route. */
  std::string m_route;
  /** Time until the deadline of the request. */
  Duration m_remaining = Duration::zero();
  /** Time to wait for a slot before the request is refused. */
  Duration m_maxWait = Duration::zero();
  /** Priority of the route; 0 is the most urgent. */
  std::uint32_t m_priority = 0;
  /** The request is a call that a backend server makes for one that it runs. */
  bool m_isChildCall = false;
  bool m_isIdempotent = false;
  /** Generation of the configuration that is active at the sending node. */
  Generation m_generation = 0;
  /** Empty if the sending node does not report it. */
  std::optional<RequestKey> m_content{};
  /** What the sending node knows of crashes by the request, if anything. */
  std::optional<Suspect> m_suspect{};
  /** The last report about the gate's backend server, if the sending node has
      one; a gate that has restarted does not know it. */
  std::optional<ServerReport> m_knownServer{};
};

/** Metadata that the answering node returns with the answer. */
struct RelayReport
{
  Outcome m_outcome = Outcome::Unknown;
  Reason m_reason = Reason::None;
  /** The answer is an error response of the backend server. */
  bool m_isServerError = false;
  /** The request reached a backend server, whether or not the server ran it. */
  bool m_hasReachedServer = false;
  /** The gate classifies the route as one by which backend servers call each
      other. @see RouteOrigins */
  bool m_isCalledRoute = false;
  /** Load of the answering node's gate. @see RelayGateFlow::Load */
  double m_gateLoad = 0;
  /** Max load of all gates on the path of the request, this gate included; its
      rate limit is not, as other hosts of the service may have none. */
  double m_pathLoad = 0;
  /** Service of the gate with m_pathLoad. */
  std::string m_bottleneck{};
  /** Estimated time that a request of the route takes in slots of that service,
      its child calls included. */
  Duration m_pathWork = Duration::zero();
  /** Generation of the configuration that is active at the answering node. */
  Generation m_generation = 0;
  /** Set if the gate's backend server has a rate limit or is leaving. */
  std::optional<ServerReport> m_server{};
  /** What the gate knows of crashes by the request, if anything. */
  std::optional<Suspect> m_suspect{};
};

/** Result of dispatching a request to the backend server. */
enum class DispatchResult : std::uint8_t
{
  /** The server returned a complete answer. */
  Answered,
  /** The server returned a complete error response. */
  AnsweredError,
  /** The server answered that it did not run the request. */
  RefusedNotRun,
  /** Another server uses the address; it did not run the request. */
  WrongServer,
  /** No connection could be opened, so the request was not sent. */
  Unreachable,
  /** The caller had disconnected, so the request was not sent. */
  CallerLeft,
  /** The request was sent, but no complete answer arrived. */
  Broken,
  /** No complete answer arrived before the deadline. */
  TimedOut
};

/** Returns the report on a request with this result, without the state of the
    gate. Thread safe. */
RelayReport
ReportOf(DispatchResult aResult);

/** Returns the report on a request that was not dispatched, without the state
    of the gate. Thread safe. */
RelayReport
NotRunReport(Reason aReason);

/** Returns the name of the result in logs and metrics. Thread safe. */
std::string_view
ToText(DispatchResult aResult);

}
