#include "tests/cr_ScriptedBackend.h"

#include <fmt/format.h>

namespace cr {

std::string
TargetOf(const ScriptedRequest& aRequest)
{
  const std::size_t start = aRequest.m_head.find(' ') + 1;
  return aRequest.m_head.substr(start,
                                aRequest.m_head.find(' ', start) - start);
}

bool
IsHealthCheck(const ScriptedRequest& aRequest)
{
  return TargetOf(aRequest) == "/health";
}

std::string
ServerFields(const ScriptedRequest& aRequest)
{
  const std::string id(FindField(aRequest, "Cr-Request"));
  return (id.empty() ? "" : "Cr-Request: " + id + "\r\n") +
         "Cr-Server: server\r\nCr-Server-Load: 0,0,8\r\n";
}

std::string
NotRunFields(const ScriptedRequest& aRequest)
{
  return ServerFields(aRequest) + "Cr-Not-Run: 1\r\n";
}

AnswerForm
SoundForm(const ScriptedRequest& aRequest)
{
  return SoundAnswers(ServerFields(aRequest)).front();
}

std::string
EmptyAnswer(std::string_view aStatus, std::string_view aFields)
{
  return fmt::format(
    "HTTP/1.1 {}\r\n{}Content-Length: 0\r\n\r\n", aStatus, aFields);
}

}
