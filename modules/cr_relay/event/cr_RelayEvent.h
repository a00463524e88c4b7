#pragma once

#include <optional>
#include <string>
#include <variant>

#include "cr_membership/cr_membership.h"
#include "cr_relay/event/cr_RelayTypes.h"
#include "cr_routes/cr_routes.h"
#include "cr_store/cr_store.h"

namespace cr {

/** A request arrived from a customer or from the host's own backend server. Its
    bytes stay with the shell. */
struct RequestArrived
{
  CallId m_call{};
  /** Host name and target as the request gives them. */
  std::string m_hostName;
  std::string m_target;
  /** How long the sender waits; the route's timeout when it does not say. */
  std::optional<Duration> m_patience;
};

/** Another node passes a request on to this node's gate. */
struct PeerRequestArrived
{
  CallId m_call{};
  RelayHeader m_header;
  /** Service of the host that the request comes from. */
  std::string m_origin;
};

/** The sender of a request closed its connection before the answer. */
struct SenderGone
{
  CallId m_call{};
};

/** A request that was passed on was answered by the other node. */
struct ForwardAnswered
{
  CallId m_call{};
  RelayReport m_report;
};

/** A request that was passed on brought no answer. */
struct ForwardFailed
{
  CallId m_call{};
  /** False only when it is certain that no byte was sent. */
  bool m_sent = false;
  bool m_timedOut = false;
};

/** A request that was handed over to the backend server ended. */
struct HandOverEnded
{
  CallId m_call{};
  ServerVerdict m_verdict = ServerVerdict::Broken;
};

/** The backend server announced itself. */
struct BackendAnnounced
{
  ServerAnnouncement m_announcement;
};

/** The backend server says that it has left. */
struct BackendLeft
{
  std::string m_id;
  std::optional<WallMilliseconds> m_born;
};

/** The backend server answered a question for its health, or did not. */
struct HealthAnswered
{
  /** The server is there and well. */
  bool m_isHealthy = false;
  std::string m_id;
  std::uint32_t m_slots = 0;
};

/** The platform answered a call. */
struct RelayStoreAnswered
{
  std::uint64_t m_id = 0;
  StoreAnswer m_answer;
};

/** A configuration arrived, from the platform or from another node. */
struct RoutesOffered
{
  RouteConfiguration m_configuration;
};

/** Another node answered AskPeerRoutes, or did not. */
struct PeerRoutesEnded
{};

/** A time named by NextWakeup() has come. */
struct RelayTimerDue
{};

/** The process was told to end: other nodes go elsewhere, customers' requests
    in progress go on. */
struct RelayShutdownAsked
{};

/** Everything that a relaying node's decisions learn. */
using RelayEvent = std::variant<RequestArrived,
                                PeerRequestArrived,
                                SenderGone,
                                ForwardAnswered,
                                ForwardFailed,
                                HandOverEnded,
                                BackendAnnounced,
                                BackendLeft,
                                HealthAnswered,
                                RelayStoreAnswered,
                                RoutesOffered,
                                PeerRoutesEnded,
                                RelayTimerDue,
                                RelayShutdownAsked>;

}
