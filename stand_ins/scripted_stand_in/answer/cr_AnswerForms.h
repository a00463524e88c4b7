#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "scripted_stand_in/server/cr_ScriptedServer.h"

namespace cr {

/** One form of an HTTP response. */
struct AnswerForm
{
  /** Letters and digits. */
  std::string m_name;
  std::string m_bytes;
  ConnectionEnding m_ending = ConnectionEnding::Keep;
};

/** Returns the answer of a scripted server that has the form. Thread safe. */
ScriptedAnswer
MakeAnswer(const AnswerForm& aForm);

/** Prints the name, for GoogleTest. Thread safe. */
void
PrintTo(const AnswerForm& aForm, std::ostream* aStream);

/** The body of the forms; broken ones may have a part of it. */
inline constexpr std::string_view kFormBody = "whole";

/** Returns responses that are complete and well-formed, with status 200 unless
    their name says otherwise. The fields are header lines, each with CRLF.
    Thread safe. */
std::vector<AnswerForm>
SoundAnswers(std::string_view aFields);

/** Returns responses that are malformed or end early. Thread safe. */
std::vector<AnswerForm>
BrokenAnswers(std::string_view aFields);

}
