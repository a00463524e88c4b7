#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cr_relay/event/cr_RelayEvent.h"

namespace cr {

/** Forwards the request to another node. The shell reports ForwardAnswered or
    ForwardFailed. */
struct ForwardRequest
{
  CallId m_call{};
  Endpoint m_peer;
  RelayHeader m_header;
};

/** Closes the connection of a forwarded request. */
struct CancelForward
{
  CallId m_call{};
};

/** Dispatches the request to the backend server. The shell reports
    DispatchEnded. */
struct DispatchRequest
{
  CallId m_call{};
  /** Id that the server at the address must have. */
  std::string m_server;
  Duration m_remaining = Duration::zero();
  bool m_isIdempotent = false;
};

/** Closes the connection of a dispatched request. */
struct CancelRelayDispatch
{
  CallId m_call{};
};

/** Returns the latest backend answer for the request to the caller. */
struct RelayAnswer
{
  CallId m_call{};
};

/** Answers the caller with an error that this node generates. */
struct RefuseRequest
{
  CallId m_call{};
  unsigned m_status = 503;
  Reason m_reason = Reason::None;
  /** Time after which the caller should retry; set only if the request was not
      run. */
  std::optional<Duration> m_retryAfter{};
  /** For the log: share of the route's requests that is admitted. */
  double m_share = 1;
  /** For the log: limit of requests in flight of the route; 0 if there is
      none. */
  double m_bound = 0;
  /** The limit that refused the request; empty if none did. For the log and
      metrics. */
  std::string_view m_limit{};
  /** For the log: host of the latest attempt; empty if there was none. */
  HostName m_host{};
};

/** Answers another node. The answer includes the backend server's response if
    the outcome is Completed. */
struct AnswerPeer
{
  CallId m_call{};
  RelayReport m_report;
};

/** Answers an announcement or a departure of the backend server. */
struct AnswerServer
{
  CallId m_call{};
  /** False if the node does not acknowledge the message. */
  bool m_isAcknowledged = true;
};

/** Requests the health path of the backend server. The shell reports
    HealthChecked. */
struct CheckHealth
{
  std::string m_path;
};

/** Sends a request to the platform. The shell reports RelayStoreAnswered. */
struct RelayCallStore
{
  std::uint64_t m_id = 0;
  StoreRequest m_request;
};

/** Parses the configuration in the operator's row. The shell reports
    RoutesOffered. */
struct ReadRoutes
{
  std::string m_document;
};

/** Fetches the operator's document that is active at another node if it is
   newer than the generation. The shell reports RoutesOffered if it is, and
    PeerRoutesFetched in any case. */
struct FetchPeerRoutes
{
  Endpoint m_peer;
  Generation m_newerThan = 0;
  /** Reported to the other node, which reports its own in its answer. */
  std::vector<Suspect> m_suspects{};
};

/** Reports requests that may crash backend servers to other nodes, without
    waiting for answers. */
struct ReportSuspects
{
  std::vector<Endpoint> m_peers;
  std::vector<Suspect> m_suspects;
};

/** Writes one decision to the log. */
struct LogDecision
{
  /** Event name; constant for each kind of log line. */
  std::string_view m_event;
  /** Request that the decision concerns. */
  std::optional<CallId> m_call;
  /** Inputs and result as JSON members. */
  std::string m_members;
};

/** Any action that RelayDecisions emits. */
using RelayAction = std::variant<ForwardRequest,
                                 CancelForward,
                                 DispatchRequest,
                                 CancelRelayDispatch,
                                 RelayAnswer,
                                 RefuseRequest,
                                 AnswerPeer,
                                 AnswerServer,
                                 CheckHealth,
                                 RelayCallStore,
                                 ReadRoutes,
                                 FetchPeerRoutes,
                                 ReportSuspects,
                                 LogDecision>;

/** Actions in the order in which they must be executed. */
using RelayActions = std::vector<RelayAction>;

}
