#pragma once

#include <string>
#include <variant>
#include <vector>

#include "cr_node/event/cr_Event.h"

namespace cr {

/** Forward the call to another node; its result is reported as AttemptAnswered
    or AttemptFailed. */
struct ForwardCall
{
  AttemptId m_attempt;
  HostName m_host;
  Incarnation m_incarnation{};
  Endpoint m_peer;
  CallHeader m_header;
  PayloadPointer m_payload;
};

/** Close the connection of a forwarded call, whose outcome is not needed any
    more. */
struct CancelAttempt
{
  AttemptId m_attempt;
};

/** Request that the other node withdraws an attempt, on a separate connection;
    the result is reported as WithdrawalAnswered. */
struct RequestWithdrawal
{
  AttemptId m_attempt;
  Endpoint m_peer;
  Incarnation m_incarnation{};
};

/** Dispatch the call to the host's backend server; its result is reported as
    ServerAnswered or ServerFailed. */
struct DispatchCall
{
  CallId m_call{};
  Endpoint m_server;
  GateToken m_token;
  CallHeader m_header;
  PayloadPointer m_payload;
};

/** Close the connection of a call that was dispatched. */
struct CancelDispatch
{
  CallId m_call{};
};

/** Answer the caller of a call, which is a customer, the host's backend server
    or another node. */
struct AnswerCall
{
  CallId m_call{};
  RequestId m_request;
  CallReport m_report;
  /** The backend server's answer; null unless the call completed. */
  PayloadPointer m_payload;
};

/** Answer WithdrawalRequested. */
struct AnswerWithdrawal
{
  CallId m_call{};
  WithdrawalResult m_result = WithdrawalResult::Unknown;
};

/** Send a gossip message to another node; its result is reported as
    GossipAnswered. */
struct SendGossip
{
  std::uint64_t m_id = 0;
  Endpoint m_peer;
  GossipMessage m_message;
};

/** Answer a gossip message. */
struct AnswerGossip
{
  CallId m_call{};
  GossipMessage m_message;
};

/** Fetch an object of the configuration from another node; the result is
    reported as ObjectFetched. */
struct FetchObject
{
  std::uint64_t m_id = 0;
  Endpoint m_peer;
  std::string m_name;
};

/** Answer ObjectRequested; there is no content when the node lacks the object.
 */
struct AnswerObject
{
  CallId m_call{};
  std::optional<std::string> m_content;
};

/** Send a request to the platform; its result is reported as StoreAnswered. */
struct CallStore
{
  StoreCallId m_call;
  StoreRequest m_request;
};

/** Write a log line for operators. */
struct WriteLog
{
  /** Component that writes the line. */
  std::string m_part;
  std::string m_text;
};

/** Any action that a node's decisions produce. */
using Action = std::variant<ForwardCall,
                            CancelAttempt,
                            RequestWithdrawal,
                            DispatchCall,
                            CancelDispatch,
                            AnswerCall,
                            AnswerWithdrawal,
                            SendGossip,
                            AnswerGossip,
                            FetchObject,
                            AnswerObject,
                            CallStore,
                            WriteLog>;

/** Actions in the order in which they must be carried out. */
using Actions = std::vector<Action>;

}
