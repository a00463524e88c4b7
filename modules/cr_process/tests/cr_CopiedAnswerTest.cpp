#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "scripted_stand_in/scripted_stand_in.h"
#include "tests/cr_NodeFixture.h"

namespace cr {

namespace {

/* A backend server that sends each answer a second time, just before its next
   answer on the connection. The body of an answer is the body of its request.
 */
class AnswerCopier
{
public:
  explicit AnswerCopier(bool aHasIdentifier)
    : m_hasIdentifier(aHasIdentifier)
  {
  }

  ScriptedAnswer Answer(const ScriptedRequest& aRequest)
  {
    const std::string fields =
      m_hasIdentifier ? fmt::format("{}: {}\r\n",
                                    kRequestHeader,
                                    FindField(aRequest, kRequestHeader))
                      : "";
    const std::string own =
      fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}",
                  fields,
                  aRequest.m_body.size(),
                  aRequest.m_body);
    ScriptedAnswer answer;
    answer.m_bytes = m_last.WithLock([&](auto& aLast) {
      return std::exchange(aLast[aRequest.m_connection], own) + own;
    });
    return answer;
  }

private:
  const bool m_hasIdentifier;
  Guarded<std::map<std::size_t, std::string>> m_last;
};

/* One node with a scripted backend server; whether its answers have the
   identifier of the request is the parameter. */
class CopiedAnswer
  : public testing::TestWithParam<bool>
  , protected NodeFixture
{
protected:
  CopiedAnswer()
    : NodeFixture(23120)
  {
    while (!IsReady()) {
      Announce();
      std::this_thread::sleep_for(Milliseconds(20));
    }
  }

  ~CopiedAnswer() override { End(); }

  /* The node forgets a server that does not announce itself for 3 s. */
  void Announce()
  {
    const std::string body = fmt::format(
      R"({{"service":"shop","endpoint":{{"address":"{}","port":{}}},)"
      R"("slots":4,"instance":1}})",
      m_server.Address().m_address,
      m_server.Address().m_port);
    ASSERT_EQ(Send(Caller(), { "POST", "/announce", {}, body }).m_status,
              kHttpOk);
  }

  AnswerCopier m_copier{ GetParam() };
  ScriptedServer m_server{ [this](const ScriptedRequest& aRequest) {
    return m_copier.Answer(aRequest);
  } };
};

TEST_P(CopiedAnswer, IsNoAnswerToTheNextRequest)
{
  constexpr int count = 20;
  int own = 0;
  for (int number = 0; number < count; ++number) {
    Announce();
    const std::string body = "body " + std::to_string(number);
    const HttpResponse response = Send(
      Caller(),
      { "POST",
        "/call/shop/browse",
        { { std::string(kRequestHeader), fmt::format("{:032x}", number + 1) } },
        body });
    if (response.m_status == kHttpOk) {
      EXPECT_EQ(response.m_body, body);
      own += response.m_body == body ? 1 : 0;
    }
  }
  EXPECT_EQ(own, count);
}

INSTANTIATE_TEST_SUITE_P(Servers,
                         CopiedAnswer,
                         testing::Bool(),
                         [](const auto& aInfo) {
                           return aInfo.param ? "WithIdentifier"
                                              : "WithoutIdentifier";
                         });

}

}
