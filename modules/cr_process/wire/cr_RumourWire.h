#pragma once

#include <json/json.h>

#include "cr_node/cr_node.h"

namespace cr {

/** Writes a rumour as the parameters or the result of a remote call. Thread
    safe. */
Json::Value
EncodeRumour(const GossipMessage& aRumour);

/** Reads a rumour; an error when it is malformed. Thread safe. */
Expected<GossipMessage>
DecodeRumour(const Json::Value& aValue);

/** Writes the answer of a rumour. Thread safe. */
Json::Value
EncodeAnswer(const AnswerGossip& aAnswer);

/** Writes the parameters of a call that asks for an object. Thread safe. */
Json::Value
EncodeObjectAsked(const std::string& aName);

/** Reads the parameters of a call that asks for an object. Throws
    Json::Exception when they are malformed. Thread safe. */
ObjectRequested
ParseObjectAsked(const Json::Value& aParameters, CallId aCall);

/** Reads the answer of a call that asks for an object; nothing when the other
    node does not have it or the answer is malformed. Thread safe. */
std::optional<std::string>
ParseObjectAnswer(const Json::Value& aResult);

/** Writes the answer of a call that asks for an object. Thread safe. */
Json::Value
EncodeAnswer(const AnswerObject& aAnswer);

/** Writes the answer of a withdrawal. Thread safe. */
Json::Value
EncodeAnswer(const AnswerWithdrawal& aAnswer);

/** Reads the parameters of a withdrawal. Throws Json::Exception when they are
    malformed. Thread safe. */
WithdrawalRequested
ParseWithdraw(const Json::Value& aParameters, CallId aCall);

}
