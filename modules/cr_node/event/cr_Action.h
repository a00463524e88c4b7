#pragma once

#include <string>
#include <variant>
#include <vector>

#include "cr_node/event/cr_Event.h"

namespace cr {

/** Send the call to another node; report AttemptAnswered or AttemptFailed. */
struct ForwardCall
{
  AttemptId m_attempt;
  HostName m_host;
  Incarnation m_incarnation{};
  Endpoint m_peer;
  CallHeader m_header;
  PayloadPointer m_payload;
};

/** Close the connection of a forwarded call; its outcome no longer matters. */
struct CancelAttempt
{
  AttemptId m_attempt;
};

/** Ask the other node to withdraw an attempt, on a connection of its own. */
struct AskWithdraw
{
  AttemptId m_attempt;
  Endpoint m_peer;
  Incarnation m_incarnation{};
};

/** Hand the call to the host's backend server; report ServerAnswered or
    ServerFailed. */
struct HandOver
{
  CallId m_call{};
  Endpoint m_server;
  GateToken m_token;
  CallHeader m_header;
  PayloadPointer m_payload;
};

/** Close the connection of a call that was handed over. */
struct CancelHandOver
{
  CallId m_call{};
};

/** Answer the caller of a call: a customer, the backend server or a node. */
struct AnswerCall
{
  CallId m_call{};
  RequestId m_request;
  CallReport m_report;
  /** The backend server's answer; null unless the call completed. */
  PayloadPointer m_payload;
};

/** Answer a withdrawal. */
struct AnswerWithdraw
{
  CallId m_call{};
  WithdrawResult m_result = WithdrawResult::Unknown;
};

/** Send a rumour to another node; report RumourAnswered. */
struct SendRumour
{
  std::uint64_t m_id = 0;
  Endpoint m_peer;
  Rumour m_rumour;
};

/** Answer a rumour. */
struct AnswerRumour
{
  CallId m_call{};
  Rumour m_rumour;
};

/** Ask another node for an object of the configuration; report ObjectAnswered.
 */
struct AskObject
{
  std::uint64_t m_id = 0;
  Endpoint m_peer;
  std::string m_name;
};

/** Answer ObjectAsked; without content when the node does not have it. */
struct AnswerObject
{
  CallId m_call{};
  std::optional<std::string> m_content;
};

/** Ask the platform; report StoreAnswered. */
struct CallStore
{
  StoreCallId m_call;
  StoreRequest m_request;
};

/** Write a log line for operators. */
struct WriteLog
{
  /** Part of the node that writes. */
  std::string m_part;
  std::string m_text;
};

/** Everything that a node's decisions ask for. */
using Action = std::variant<ForwardCall,
                            CancelAttempt,
                            AskWithdraw,
                            HandOver,
                            CancelHandOver,
                            AnswerCall,
                            AnswerWithdraw,
                            SendRumour,
                            AnswerRumour,
                            AskObject,
                            AnswerObject,
                            CallStore,
                            WriteLog>;

/** Actions in the order in which they are to be carried out. */
using Actions = std::vector<Action>;

}
