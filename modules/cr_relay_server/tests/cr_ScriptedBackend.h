#pragma once

#include <string>
#include <string_view>

#include "scripted_stand_in/scripted_stand_in.h"

namespace cr {

/** Returns the target of a request to a scripted backend server. Thread
    safe. */
std::string
TargetOf(const ScriptedRequest& aRequest);

/** Returns whether a node sent the request to check the server's health. Thread
    safe. */
bool
IsHealthCheck(const ScriptedRequest& aRequest);

/** Returns the header lines of a backend server's answer; the answer to a
    health check has no identifier. Thread safe. */
std::string
ServerFields(const ScriptedRequest& aRequest);

/** Returns the header lines of a backend server's answer to a request that it
    did not run. Thread safe. */
std::string
NotRunFields(const ScriptedRequest& aRequest);

/** Returns a whole and well-formed answer to the request. Thread safe. */
AnswerForm
SoundForm(const ScriptedRequest& aRequest);

/** Returns an answer without a body. The start line is "STATUS REASON". Thread
    safe. */
std::string
EmptyAnswer(std::string_view aStatus, std::string_view aFields);

}
