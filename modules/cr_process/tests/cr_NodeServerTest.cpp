#include <chrono>
#include <thread>

#include <gtest/gtest.h>

#include "cr_process/cr_process.h"
#include "cr_transport/cr_transport.h"
#include "platform_stand_in/platform_stand_in.h"
#include "server_stand_in/server_stand_in.h"

namespace cr {

namespace {

constexpr std::uint16_t kBasePort = 23100;
constexpr std::uint32_t kSlots = 4;

/* One node, its backend server and the platform, connected over loopback. */
class OneNode : public testing::Test
{
protected:
  OneNode()
    : m_threads(2)
    , m_client(m_threads, {})
    , m_platform(m_threads)
  {
    Findings findings;
    const std::string file =
      R"({ "service": "shop", "operations": { "browse": {
             "importance": "low", "idempotent": true, "patience_ms": 5000 } } })";
    const ServiceDescription service =
      ParseServiceFile("shop.json", file, findings);
    EXPECT_TRUE(m_platform.Listen({ "127.0.0.1", kBasePort }));
    PublicationRequest request;
    request.m_files = { { "shop.json", file } };
    request.m_publicationId = "1";
    StoreConnection store(m_client, { "127.0.0.1", kBasePort }, Seconds(5));
    const auto result = Publish(request, [&](const StoreRequest& aRequest) {
      return store.SendAndWait(aRequest);
    });
    EXPECT_TRUE(std::holds_alternative<Published>(result));
    NodeSettings settings;
    settings.m_host = "host-1";
    settings.m_region = "r";
    settings.m_dataCentre = "a";
    settings.m_address = "127.0.0.1";
    settings.m_callerPort = kBasePort + 1;
    settings.m_peerPort = kBasePort + 2;
    settings.m_operatorPort = kBasePort + 3;
    settings.m_platform = { "127.0.0.1", kBasePort };
    m_node = std::make_unique<NodeServer>(settings, Incarnation{ 1 });
    EXPECT_TRUE(m_node->Start());
    BackendServerOptions plan;
    plan.m_service = service;
    plan.m_node = Caller();
    plan.m_listen = { "127.0.0.1", kBasePort + 4 };
    plan.m_slots = kSlots;
    plan.m_serviceTime = Milliseconds(100);
    m_server = std::make_unique<BackendServer>(m_threads, plan);
    EXPECT_TRUE(m_server->Start());
    WaitUntilReady();
  }

  ~OneNode() override
  {
    m_node.reset();
    m_threads.Stop();
  }

  static Endpoint Caller() { return { "127.0.0.1", kBasePort + 1 }; }
  static Endpoint Peer() { return { "127.0.0.1", kBasePort + 2 }; }

  void WaitUntilReady()
  {
    while (m_node->Status().m_hosts["shop"] == 0 ||
           m_node->Status().m_generation == 0) {
      std::this_thread::sleep_for(Milliseconds(20));
    }
  }

  HttpResponse Send(const Endpoint& aEndpoint, HttpRequest aRequest)
  {
    const HttpResult result =
      m_client.SendAndWait(aEndpoint, std::move(aRequest), Seconds(20));
    const auto* response = std::get_if<HttpResponse>(&result);
    if (response == nullptr) {
      ADD_FAILURE() << std::get<HttpFailure>(result).m_text;
      return HttpResponse{ 0, {}, {} };
    }
    return *response;
  }

  IoThreads m_threads;
  HttpClient m_client;
  PlatformServer m_platform;
  std::unique_ptr<NodeServer> m_node;
  std::unique_ptr<BackendServer> m_server;
};

TEST_F(OneNode, ServesCallsFromManyConnectionsAtOnce)
{
  constexpr int count = 40;
  std::atomic<int> completed{ 0 };
  std::atomic<int> answered{ 0 };
  for (int number = 0; number < count; ++number) {
    m_client.Send(Caller(),
                  { "POST", "/call/shop/browse", {}, "" },
                  Seconds(20),
                  [&](const HttpResult& aResult) {
                    const auto* response = std::get_if<HttpResponse>(&aResult);
                    const bool isOwnResponse =
                      response != nullptr && response->m_status == kHttpOk &&
                      FindHeader(response->m_headers, kRequestHeader) ==
                        response->m_body.substr(0, response->m_body.find(' '));
                    completed += isOwnResponse ? 1 : 0;
                    ++answered;
                  });
  }
  while (answered < count) {
    std::this_thread::sleep_for(Milliseconds(10));
  }
  EXPECT_GE(completed.load(), static_cast<int>(kSlots));
  EXPECT_EQ(m_server->Counters().m_runs,
            static_cast<std::uint64_t>(completed.load()));
}

TEST_F(OneNode, MalformedInputIsRejectedAndServiceContinues)
{
  EXPECT_EQ(Send(Caller(), { "GET", "/nowhere", {}, "" }).m_status, 404U);
  EXPECT_EQ(Send(Caller(), { "POST", "/call/shop", {}, "" }).m_status, 400U);
  EXPECT_EQ(Send(Caller(), { "POST", "/call/no/such", {}, "" }).m_status, 404U);
  EXPECT_EQ(Send(Caller(),
                 { "POST",
                   "/call/shop/browse",
                   { { "Cr-Remaining-Ms", "99999999999" } },
                   "" })
              .m_status,
            400U);
  EXPECT_EQ(Send(Caller(),
                 { "POST",
                   "/call/shop/browse",
                   { { "Idempotency-Key", "not-a-uuid" } },
                   "" })
              .m_status,
            400U);
  EXPECT_EQ(Send(Caller(), { "POST", "/announce", {}, "{ nonsense" }).m_status,
            400U);
  EXPECT_EQ(Send(Peer(), { "POST", "/call/shop/browse", {}, "" }).m_status,
            400U);
  EXPECT_EQ(Send(Caller(),
                 { "POST", "/call/shop/browse", {}, std::string(2 << 20, 'x') })
              .m_status,
            413U);
  EXPECT_EQ(Send(Caller(),
                 { "POST",
                   "/call/shop/browse",
                   { { "X-Large", std::string(40000, 'x') } },
                   "" })
              .m_status,
            431U);
  EXPECT_EQ(Send(Caller(), { "POST", "/call/shop/browse", {}, "" }).m_status,
            200U);
}

TEST_F(OneNode, ShutdownAbortsNoCall)
{
  std::atomic<int> status{ 0 };
  m_client.Send(Caller(),
                { "POST", "/call/shop/browse", {}, "" },
                Seconds(20),
                [&](const HttpResult& aResult) {
                  const auto* response = std::get_if<HttpResponse>(&aResult);
                  status = response != nullptr
                             ? static_cast<int>(response->m_status)
                             : -1;
                });
  while (m_server->Counters().m_runs == 0) {
    std::this_thread::sleep_for(Milliseconds(1));
  }
  EXPECT_EQ(m_node->Shutdown(), 0U);
  while (status == 0) {
    std::this_thread::sleep_for(Milliseconds(1));
  }
  EXPECT_EQ(status.load(), 200);
}

}

}
