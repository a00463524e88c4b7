#pragma once

#include <json/json.h>

#include "cr_node/cr_node.h"

namespace cr {

/** Writes a gossip message as the parameters or the result of an RPC. Thread
    safe. */
Json::Value
EncodeGossip(const GossipMessage& aMessage);

/** Reads a gossip message; an error when it is malformed. Thread safe. */
Expected<GossipMessage>
DecodeGossip(const Json::Value& aValue);

/** Writes the answer to a gossip message. Thread safe. */
Json::Value
EncodeAnswer(const AnswerGossip& aAnswer);

/** Writes the parameters of an RPC that fetches an object. Thread safe. */
Json::Value
EncodeObjectRequest(const std::string& aName);

/** Reads the parameters of an RPC that fetches an object. Throws
    Json::Exception when they are malformed. Thread safe. */
ObjectRequested
ParseObjectRequest(const Json::Value& aParameters, CallId aCall);

/** Reads the result of an RPC that fetches an object; nothing when the other
    node does not have the object or the result is malformed. Thread safe. */
std::optional<std::string>
ParseObjectAnswer(const Json::Value& aResult);

/** Writes the result of an RPC that fetches an object. Thread safe. */
Json::Value
EncodeAnswer(const AnswerObject& aAnswer);

/** Writes the answer of a withdrawal. Thread safe. */
Json::Value
EncodeAnswer(const AnswerWithdrawal& aAnswer);

/** Reads the parameters of a withdrawal. Throws Json::Exception when they are
    malformed. Thread safe. */
WithdrawalRequested
ParseWithdrawal(const Json::Value& aParameters, CallId aCall);

}
