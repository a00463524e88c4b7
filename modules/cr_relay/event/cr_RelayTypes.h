#pragma once

#include <optional>
#include <string>

#include "cr_core/cr_core.h"
#include "cr_settings/cr_settings.h"
#include "cr_store/cr_store.h"

namespace cr {

/** Who a relaying node is and how it is set; fixed for the life of its
    process. */
struct RelaySettings
{
  HostName m_host;
  Incarnation m_incarnation{};
  std::string m_region;
  std::string m_dataCentre;
  /** Where other nodes reach it. */
  Endpoint m_peer;
  /** Service of the host's backend server. */
  std::string m_service;
  /** Row of the platform's table that holds the configuration of the routes. */
  RowKey m_routesRow;
  /** Seed of its random choices. */
  std::uint64_t m_seed = 0;
  /** Repeats that all nodes together may send, for each request. */
  double m_retryRatio = 0.1;
  /** Repeats beyond that in a window, over all nodes. */
  double m_retrySlack = 0;
  Duration m_retryWindow = Seconds(10);
  /** Off for the naive version: a random host, no queue outside the backend
      server, no share, no retry. */
  bool m_isGoverned = true;
};

/** What travels with a relayed request from node to node. */
struct RelayHeader
{
  std::string m_service;
  /** Name of the request's route. */
  std::string m_route;
  /** Time left until the answer is of no use. */
  Duration m_remaining = Duration::zero();
  /** Longest time to wait for a slot before a refusal is better. */
  Duration m_longestWait = Duration::zero();
  /** The request is a call that a backend server makes for one that it
      runs. */
  bool m_isBegun = false;
  bool m_isIdempotent = false;
  /** Configuration in force at the sender. */
  Generation m_generation = 0;
};

/** What travels back with the answer. */
struct RelayReport
{
  Outcome m_outcome = Outcome::Unknown;
  Reason m_reason = Reason::None;
  /** The answer is the backend server's and tells of a failure. */
  bool m_isServerError = false;
  /** The request reached a backend server, whether or not it ran. */
  bool m_hasReached = false;
  /** The gate finds that the request's route is one by which backend servers
      call each other. @see RouteOrigins */
  bool m_isCalledRoute = false;
  /** Load of the answering node's own gate. @see OfferedLoad */
  double m_gateLoad = 0;
  /** Greatest load on the way of the request, the gate's included. */
  double m_pathLoad = 0;
  /** Configuration in force at the answering node. */
  Generation m_generation = 0;
};

/** How a request that was handed over to the backend server ended. */
enum class ServerVerdict : std::uint8_t
{
  /** A whole answer of the server arrived. */
  Answered,
  /** A whole answer arrived, and tells of a failure. */
  AnsweredError,
  /** The server says that it did not run the request. */
  RefusedNotRun,
  /** Another server has the address; it did not run the request. */
  WrongServer,
  /** No connection could be opened; the request was not sent. */
  Unreachable,
  /** The request was sent and brought no whole answer. */
  Broken,
  /** The time for the answer ran out. */
  TimedOut
};

/** Returns the verdict's name in logs and metrics. Thread safe. */
std::string_view
ToText(ServerVerdict aVerdict);

}
