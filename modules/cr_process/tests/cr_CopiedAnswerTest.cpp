#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "cr_process/cr_process.h"
#include "cr_transport/cr_transport.h"
#include "platform_stand_in/platform_stand_in.h"
#include "scripted_stand_in/scripted_stand_in.h"

namespace cr {

namespace {

constexpr std::uint16_t kBasePort = 23120;

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
class CopiedAnswer : public testing::TestWithParam<bool>
{
protected:
  CopiedAnswer()
  {
    EXPECT_TRUE(m_platform.Listen(Platform()));
    PublicationRequest request;
    request.m_files = {
      { "shop.json",
        R"({ "service": "shop", "operations": { "browse": {
             "importance": "low", "idempotent": true, "patience_ms": 5000 } } })" }
    };
    request.m_publicationId = "1";
    StoreConnection store(m_client, Platform(), Seconds(5));
    const auto result = Publish(request, [&](const StoreRequest& aRequest) {
      return store.SendAndWait(aRequest);
    });
    EXPECT_TRUE(std::holds_alternative<Published>(result));
    NodeSettings settings;
    settings.m_host = "host-1";
    settings.m_region = "r";
    settings.m_dataCentre = "a";
    settings.m_address = "127.0.0.1";
    settings.m_callerPort = Caller().m_port;
    settings.m_peerPort = kBasePort + 2;
    settings.m_operatorPort = kBasePort + 3;
    settings.m_platform = Platform();
    m_node = std::make_unique<NodeServer>(settings, Incarnation{ 1 });
    EXPECT_TRUE(m_node->Start());
    WaitUntilReady();
  }

  ~CopiedAnswer() override
  {
    m_node.reset();
    m_threads.Stop();
  }

  static Endpoint Platform() { return { "127.0.0.1", kBasePort }; }
  static Endpoint Caller() { return { "127.0.0.1", kBasePort + 1 }; }

  HttpResponse Send(HttpRequest aRequest)
  {
    const HttpResult result =
      m_client.SendAndWait(Caller(), std::move(aRequest), Seconds(20));
    const auto* response = std::get_if<HttpResponse>(&result);
    return response != nullptr ? *response : HttpResponse{ 0, {}, {} };
  }

  /* The node forgets a server that does not announce itself for 3 s. */
  void Announce()
  {
    const std::string body = fmt::format(
      R"({{"service":"shop","endpoint":{{"address":"{}","port":{}}},)"
      R"("slots":4,"instance":1}})",
      m_server.Address().m_address,
      m_server.Address().m_port);
    ASSERT_EQ(Send({ "POST", "/announce", {}, body }).m_status, kHttpOk);
  }

  void WaitUntilReady()
  {
    while (m_node->Status().m_hosts["shop"] == 0 ||
           m_node->Status().m_generation == 0) {
      Announce();
      std::this_thread::sleep_for(Milliseconds(20));
    }
  }

  AnswerCopier m_copier{ GetParam() };
  ScriptedServer m_server{ [this](const ScriptedRequest& aRequest) {
    return m_copier.Answer(aRequest);
  } };
  IoThreads m_threads{ 2 };
  HttpClient m_client{ m_threads, {} };
  PlatformServer m_platform{ m_threads };
  std::unique_ptr<NodeServer> m_node;
};

TEST_P(CopiedAnswer, IsNoAnswerToTheNextRequest)
{
  constexpr int count = 20;
  int own = 0;
  for (int number = 0; number < count; ++number) {
    Announce();
    const std::string body = "body " + std::to_string(number);
    const HttpResponse response = Send(
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
