#include <chrono>
#include <thread>

#include <gtest/gtest.h>

#include "cr_process/cr_process.h"
#include "cr_transport/cr_transport.h"
#include "server_stand_in/server_stand_in.h"
#include "tests/cr_NodeFixture.h"

namespace cr {

namespace {

constexpr std::uint32_t kSlots = 4;

/* One node and its backend server. */
class OneNode
  : public testing::Test
  , protected NodeFixture
{
protected:
  OneNode()
    : NodeFixture(23100)
  {
    Findings findings;
    BackendServerOptions plan;
    plan.m_service =
      ParseServiceFile("shop.json", std::string(kServiceFile), findings);
    plan.m_node = Caller();
    plan.m_listen = PortAt(4);
    plan.m_slots = kSlots;
    plan.m_serviceTime = Milliseconds(100);
    m_server = std::make_unique<BackendServer>(m_threads, plan);
    EXPECT_TRUE(m_server->Start());
    while (!IsReady()) {
      std::this_thread::sleep_for(Milliseconds(20));
    }
  }

  ~OneNode() override { End(); }

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
