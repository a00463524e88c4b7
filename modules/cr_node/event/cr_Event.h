#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cr_core/cr_core.h"
#include "cr_membership/cr_membership.h"
#include "cr_settings/cr_settings.h"
#include "cr_store/cr_store.h"
#include "cr_suspects/cr_suspects.h"

namespace cr {

/** Identifies a call to the backend server that runs it. The server sends it
    back with each child call. Must not be guessable by others. */
using GateToken = Identifier<struct GateTokenTag>;

/** The component of a node that sent a request to the platform. */
enum class StoreClient : std::uint8_t
{
  Directory,
  Configuration,
  Ownership
};

/** Identifies a request to the platform. */
struct StoreCallId
{
  StoreClient m_client = StoreClient::Directory;
  std::uint64_t m_sequence = 0;

  auto operator<=>(const StoreCallId&) const = default;
};

//==============================================================================
/** A customer's call arrived. */
struct CustomerCall
{
  CallId m_call{};
  OperationName m_operation;
  /** The same on every resend; the network layer generates one when the
      customer sends none. */
  RequestId m_request;
  std::optional<IdempotencyKey> m_key;
  /** How long the customer waits; when missing, the timeout in the service file
      applies. */
  std::optional<Duration> m_callerTimeout;
  PayloadPointer m_payload;
};

/** The host's backend server makes a child call for a call that it runs. */
struct ChildCall
{
  CallId m_call{};
  GateToken m_parent;
  OperationName m_operation;
  std::optional<IdempotencyKey> m_key;
  std::optional<Duration> m_callerTimeout;
  PayloadPointer m_payload;
};

/** Another node forwards a call to this node's gate. */
struct PeerCall
{
  CallId m_call{};
  AttemptId m_attempt;
  CallHeader m_header;
  PayloadPointer m_payload;
};

/** The caller of a call closed its connection before it was answered. */
struct CallerDisconnected
{
  CallId m_call{};
};

//==============================================================================
/** A forwarded call was answered by the other node. */
struct AttemptAnswered
{
  AttemptId m_attempt;
  CallReport m_report;
  PayloadPointer m_payload;
};

/** A forwarded call failed without an answer. */
struct AttemptFailed
{
  AttemptId m_attempt;
  /** False only when it is certain that no byte was sent. */
  bool m_sent = false;
  bool m_timedOut = false;
};

/** A gate's answer to a withdrawal. */
enum class WithdrawalResult : std::uint8_t
{
  /** The attempt did not run and will not run. */
  NotRun,
  /** The attempt is running or has run. */
  Ran,
  /** The gate cannot tell, or did not answer. */
  Unknown
};

/** Another node requests the withdrawal of an attempt. */
struct WithdrawalRequested
{
  CallId m_call{};
  AttemptId m_attempt;
  /** The incarnation that the attempt was sent to. */
  Incarnation m_incarnation{};
};

/** The other node answered a withdrawal request, or did not answer it. */
struct WithdrawalAnswered
{
  AttemptId m_attempt;
  WithdrawalResult m_result = WithdrawalResult::Unknown;
};

//==============================================================================
/** The host's backend server announced itself or renewed its announcement. */
struct ServerAnnounced
{
  std::string m_service;
  Endpoint m_endpoint;
  std::uint32_t m_slots = 0;
  /** Identifier of the server process; it changes with every restart. */
  std::uint64_t m_instance = 0;
  bool m_leaving = false;
};

/** The backend server answered a call. */
struct ServerAnswered
{
  CallId m_call{};
  unsigned m_status = 0;
  PayloadPointer m_payload;
};

/** The backend server did not answer a call. */
struct ServerFailed
{
  CallId m_call{};
  /** False only when it is certain that no byte was sent. */
  bool m_sent = false;
  /** The connection was refused, so the server is not running. */
  bool m_refused = false;
  /** The server did not answer in time; it may still be running. */
  bool m_timedOut = false;
};

//==============================================================================
/** A gossip message between nodes. It holds changed rows only, unless a full
    copy or certain buckets were requested. */
struct GossipMessage
{
  /** The sender itself. */
  NodeRow m_sender;
  /** Rows of other nodes that changed recently or that were requested. */
  std::vector<NodeRow> m_rows;
  /** Generation of the sender's active configuration. */
  Generation m_generation = 0;
  std::vector<Suspect> m_suspects;
  /** Digest of all rows that the sender knows. @see MembershipView::Digest */
  std::uint32_t m_digest = 0;
  /** Digest of each bucket; either empty or complete. */
  std::vector<std::uint32_t> m_bucketDigests;
  /** Buckets whose rows the sender requests in the answer. */
  std::vector<std::uint32_t> m_requestedBuckets;
  /** The sender lacks a full copy and requests all rows. */
  bool m_requestsAllRows = false;
};

/** A gossip message arrived; it is answered by another one. */
struct GossipReceived
{
  CallId m_call{};
  GossipMessage m_message;
};

/** A node answered a gossip message; no message when it did not answer. */
struct GossipAnswered
{
  std::uint64_t m_id = 0;
  std::optional<GossipMessage> m_message;
};

/** Another node requests an object of the active configuration. */
struct ObjectRequested
{
  CallId m_call{};
  /** Name of the object; kHeadObject for the head. */
  std::string m_name;
};

/** Another node answered FetchObject; no content when it did not answer or
    lacks the object. */
struct ObjectFetched
{
  std::uint64_t m_id = 0;
  std::optional<std::string> m_content;
};

/** Object name under which nodes serve the head of their active
    configuration. */
inline constexpr std::string_view kHeadObject = "head";

//==============================================================================
/** The platform answered a request, or the request failed. */
struct StoreAnswered
{
  StoreCallId m_call;
  StoreAnswer m_answer;
};

/** The time returned by NextWakeup() has been reached. */
struct TimerDue
{};

/** The process is shutting down: it accepts no new work and finishes calls in
    progress. */
struct ShutdownRequested
{};

/** Any event that a node's decisions handle. */
using Event = std::variant<CustomerCall,
                           ChildCall,
                           PeerCall,
                           CallerDisconnected,
                           AttemptAnswered,
                           AttemptFailed,
                           WithdrawalRequested,
                           WithdrawalAnswered,
                           ServerAnnounced,
                           ServerAnswered,
                           ServerFailed,
                           GossipReceived,
                           GossipAnswered,
                           ObjectRequested,
                           ObjectFetched,
                           StoreAnswered,
                           TimerDue,
                           ShutdownRequested>;

}
