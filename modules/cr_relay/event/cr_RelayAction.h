#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cr_relay/event/cr_RelayEvent.h"

namespace cr {

/** Pass the request on to another node; report ForwardAnswered or
    ForwardFailed. */
struct ForwardRequest
{
  CallId m_call{};
  Endpoint m_peer;
  RelayHeader m_header;
};

/** Close the connection of a request that was passed on. */
struct CancelForward
{
  CallId m_call{};
};

/** Hand the request to the backend server; report HandOverEnded. */
struct HandOverRequest
{
  CallId m_call{};
  /** Name that the server must have. */
  std::string m_server;
  Duration m_remaining = Duration::zero();
  bool m_isIdempotent = false;
};

/** Close the connection of a request that was handed over. */
struct CancelServerRequest
{
  CallId m_call{};
};

/** Give the sender the answer that came last for the request. */
struct RelayAnswer
{
  CallId m_call{};
};

/** Give the sender an answer of the node's own. */
struct RefuseRequest
{
  CallId m_call{};
  unsigned m_status = 503;
  Reason m_reason = Reason::None;
  /** When the sender should come back; only where the request was not run. */
  std::optional<Duration> m_retryAfter{};
  /** For the log: share of the route's requests that was let in, and the host
      that was tried last; empty when none was. */
  double m_share = 1;
  /** Bound of the requests in progress that the route had; 0 for none. */
  double m_bound = 0;
  HostName m_host{};
};

/** Answer another node; with the backend server's answer when the outcome is
    Completed. */
struct AnswerPeer
{
  CallId m_call{};
  RelayReport m_report;
};

/** Ask the backend server for its health; report HealthAnswered. */
struct AskHealth
{
  std::string m_path;
};

/** Call the platform; report RelayStoreAnswered, and RoutesOffered for news of
    the configuration. */
struct RelayCallStore
{
  std::uint64_t m_id = 0;
  StoreRequest m_request;
};

/** Read the configuration out of the operator's row; report RoutesOffered. */
struct ReadRoutes
{
  std::string m_document;
};

/** Ask another node for the operator's document that it has in force; report
    RoutesOffered, and PeerRoutesEnded in any case. */
struct AskPeerRoutes
{
  Endpoint m_peer;
};

/** One decision, for the log. */
struct LogDecision
{
  /** What was decided; a fixed word for each kind of line. */
  std::string_view m_event;
  /** The request that it is about. */
  std::optional<CallId> m_call;
  /** Inputs and outcome as JSON members. */
  std::string m_members;
};

/** Everything that a relaying node's decisions ask for. */
using RelayAction = std::variant<ForwardRequest,
                                 CancelForward,
                                 HandOverRequest,
                                 CancelServerRequest,
                                 RelayAnswer,
                                 RefuseRequest,
                                 AnswerPeer,
                                 AskHealth,
                                 RelayCallStore,
                                 ReadRoutes,
                                 AskPeerRoutes,
                                 LogDecision>;

/** Actions in the order in which they are to be carried out. */
using RelayActions = std::vector<RelayAction>;

}
