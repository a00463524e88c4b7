#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cr_membership/cr_membership.h"
#include "cr_relay/event/cr_RelayTypes.h"
#include "cr_routes/cr_routes.h"
#include "cr_store/cr_store.h"

namespace cr {

/** A request arrived from a customer or from the host's own backend server. The
    shell keeps its bytes. */
struct RequestArrived
{
  CallId m_call{};
  /** Host name and target as given in the request. */
  std::string m_hostName;
  std::string m_target;
  /** Time that the caller waits for an answer; the route's timeout applies if
      the request does not state it. */
  std::optional<Duration> m_callerTimeout;
  /** How long the request waited for its turn on its connection. */
  Duration m_waited{};
  /** Made by MakeContentKey() of what the backend server reads. */
  RequestKey m_content;
};

/** Another node forwarded a request to this node's gate. */
struct PeerRequestArrived
{
  CallId m_call{};
  RelayHeader m_header;
  /** Service of the host that forwarded the request. */
  std::string m_originService;
};

/** The caller closed its connection before it was answered. */
struct RelayCallerDisconnected
{
  CallId m_call{};
};

/** The other node answered a forwarded request. */
struct ForwardAnswered
{
  CallId m_call{};
  RelayReport m_report;
};

/** A forwarded request failed without an answer. */
struct ForwardFailed
{
  CallId m_call{};
  /** False only if it is certain that no byte was sent. */
  bool m_sent = false;
  bool m_timedOut = false;
};

/** A request that was dispatched to the backend server ended. */
struct DispatchEnded
{
  CallId m_call{};
  DispatchResult m_result = DispatchResult::Broken;
  /** Condition in the server's answer; empty without an answer. */
  std::optional<ServerCondition> m_condition{};
  /** Number of requests that the connection of an answer had carried before. */
  std::size_t m_earlier = 0;
};

/** The backend server announced its state. AnswerServer follows. */
struct BackendAnnounced
{
  ServerAnnouncement m_announcement;
  CallId m_call{};
};

/** The backend server announced its departure. AnswerServer follows. */
struct BackendLeft
{
  std::string m_id;
  std::optional<WallMilliseconds> m_born;
  CallId m_call{};
};

/** A health check of the backend server ended, with or without an answer. */
struct HealthChecked
{
  /** The server answered and is healthy. */
  bool m_isHealthy = false;
  std::string m_id;
  std::uint32_t m_slots = 0;
  /** Condition in the server's answer; empty without an answer. */
  std::optional<ServerCondition> m_condition{};
  /** The server accepted no connection. */
  bool m_isUnreachable = false;
};

/** The platform answered a request. */
struct RelayStoreAnswered
{
  std::uint64_t m_id = 0;
  StoreAnswer m_answer;
  /** Era in the answer; empty without an answer, or if the platform does not
      report it. */
  std::optional<StoreEra> m_era{};
};

/** A configuration was received from the platform or from another node. */
struct RoutesOffered
{
  RouteConfiguration m_configuration;
};

/** FetchPeerRoutes ended. An answer with routes was offered before. */
struct PeerRoutesFetched
{
  /** The other node answered, whether or not it has routes. */
  bool m_isAnswered = false;
  /** Suspects that the other node reported. */
  std::vector<Suspect> m_suspects{};
};

/** Another node reported requests that may crash backend servers. */
struct SuspectsReported
{
  std::vector<Suspect> m_suspects;
};

/** The time that NextWakeup() returned was reached. */
struct RelayTimerDue
{};

/** The process was asked to shut down. The gate refuses new requests;
    customers' requests in progress continue. */
struct RelayShutdownRequested
{};

/** Any event that RelayDecisions handles. */
using RelayEvent = std::variant<RequestArrived,
                                PeerRequestArrived,
                                RelayCallerDisconnected,
                                ForwardAnswered,
                                ForwardFailed,
                                DispatchEnded,
                                BackendAnnounced,
                                BackendLeft,
                                HealthChecked,
                                RelayStoreAnswered,
                                RoutesOffered,
                                PeerRoutesFetched,
                                SuspectsReported,
                                RelayTimerDue,
                                RelayShutdownRequested>;

}
