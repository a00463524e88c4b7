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

/** Names a call that runs in a backend server to that server, which sends it
    back with the calls it makes for it. Unguessable for others. */
using GateToken = Identifier<struct GateTokenTag>;

/** Which part of a node asked the platform. */
enum class StoreClient : std::uint8_t
{
  Directory,
  Configuration,
  Ownership
};

/** Names a request to the platform. */
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
  /** The same on every resend; the shell makes one when it is missing. */
  RequestId m_request;
  std::optional<IdempotencyKey> m_key;
  /** How long the customer waits; the service file's patience when missing. */
  std::optional<Duration> m_patience;
  PayloadPointer m_payload;
};

/** The host's backend server makes a call for a call that it runs. */
struct ChildCall
{
  CallId m_call{};
  GateToken m_parent;
  OperationName m_operation;
  std::optional<IdempotencyKey> m_key;
  std::optional<Duration> m_patience;
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

/** The caller of a call closed its connection before the answer. */
struct CallerGone
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

/** A forwarded call brought no answer. */
struct AttemptFailed
{
  AttemptId m_attempt;
  /** False only when it is certain that no byte was sent. */
  bool m_sent = false;
  bool m_timedOut = false;
};

/** What a gate answers to a withdrawal. */
enum class WithdrawResult : std::uint8_t
{
  /** The attempt never ran and never will. */
  NotRun,
  /** It runs or ran. */
  Ran,
  /** The gate cannot know, or did not answer. */
  Unknown
};

/** Another node withdraws an attempt. */
struct WithdrawAsked
{
  CallId m_call{};
  AttemptId m_attempt;
  /** The incarnation that the attempt was sent to. */
  Incarnation m_incarnation{};
};

/** The other node answered, or failed to answer, a withdrawal. */
struct WithdrawAnswered
{
  AttemptId m_attempt;
  WithdrawResult m_result = WithdrawResult::Unknown;
};

//==============================================================================
/** The host's backend server announced itself or renewed. */
struct ServerAnnounced
{
  std::string m_service;
  Endpoint m_endpoint;
  std::uint32_t m_slots = 0;
  /** Differs after each restart of the server. */
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

/** The backend server gave no answer to a call. */
struct ServerFailed
{
  CallId m_call{};
  /** False only when it is certain that no byte was sent. */
  bool m_sent = false;
  /** The connection was refused: the server is gone. */
  bool m_refused = false;
  /** The server did not answer in time; it may be alive. */
  bool m_timedOut = false;
};

//==============================================================================
/** What nodes tell each other unasked: changes only, unless a full copy was
    asked for. */
struct Rumour
{
  /** The sender itself. */
  NodeRow m_sender;
  /** Rows of other nodes that changed lately, or that were asked for. */
  std::vector<NodeRow> m_rows;
  /** Newest configuration that the sender has in force. */
  Generation m_generation = 0;
  std::vector<Suspect> m_suspects;
  /** Digest of all rows that the sender knows. @see MembershipView::Digest */
  std::uint32_t m_digest = 0;
  /** Digests by bucket; empty, or one for each bucket. */
  std::vector<std::uint32_t> m_buckets;
  /** Buckets whose rows the sender wants in the answer. */
  std::vector<std::uint32_t> m_wanted;
  /** The sender knows nobody and wants all rows. */
  bool m_wantsAll = false;
};

/** A rumour arrived; it is answered by one. */
struct RumourArrived
{
  CallId m_call{};
  Rumour m_rumour;
};

/** A node answered a rumour, or did not. */
struct RumourAnswered
{
  std::uint64_t m_id = 0;
  std::optional<Rumour> m_rumour;
};

/** Another node asks for an object of the configuration in force. */
struct ObjectAsked
{
  CallId m_call{};
  /** Name of the object; kHeadObject for the head. */
  std::string m_name;
};

/** Another node answered, or failed to answer, AskObject. */
struct ObjectAnswered
{
  std::uint64_t m_id = 0;
  std::optional<std::string> m_content;
};

/** Name under which a node gives the head of its configuration in force. */
inline constexpr std::string_view kHeadObject = "head";

//==============================================================================
/** The platform answered. */
struct StoreAnswered
{
  StoreCallId m_call;
  StoreAnswer m_answer;
};

/** A time named by NextWakeup() has come. */
struct TimerDue
{};

/** The process was told to end: no new work, calls in progress go on. */
struct ShutdownAsked
{};

/** Everything that a node's decisions learn. */
using Event = std::variant<CustomerCall,
                           ChildCall,
                           PeerCall,
                           CallerGone,
                           AttemptAnswered,
                           AttemptFailed,
                           WithdrawAsked,
                           WithdrawAnswered,
                           ServerAnnounced,
                           ServerAnswered,
                           ServerFailed,
                           RumourArrived,
                           RumourAnswered,
                           ObjectAsked,
                           ObjectAnswered,
                           StoreAnswered,
                           TimerDue,
                           ShutdownAsked>;

}
