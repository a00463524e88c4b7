#include <atomic>
#include <functional>
#include <future>
#include <thread>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "cr_transport/cr_transport.h"
#include "scripted_stand_in/scripted_stand_in.h"

namespace cr {

namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::uint64_t kBodyBytes = 1024 * 1024;
constexpr std::uint64_t kHeldBytes = 2 * kBodyBytes;
/* Bytes that the kernel may hold for one connection. */
constexpr std::uint64_t kSocketBytes = 16 * 1024 * 1024;
constexpr Duration kTimeout = Seconds(20);

/* A server that answers each request with a text, and then repeats another one
   until the caller closes the connection. */
class EndlessServer
{
public:
  EndlessServer(std::string aStart, const std::string& aRepeated)
    : m_acceptor(m_context, tcp::endpoint(tcp::v4(), 0))
    , m_start(std::move(aStart))
  {
    constexpr std::size_t blockBytes = 65536;
    while (m_block.size() < blockBytes) {
      m_block += aRepeated;
    }
    m_thread = std::thread([this] { Serve(); });
  }

  ~EndlessServer()
  {
    m_isStopping = true;
    boost::system::error_code ignored;
    tcp::socket wakeup(m_context);
    wakeup.connect(m_acceptor.local_endpoint(), ignored);
    m_thread.join();
    for (std::thread& answering : m_answering) {
      answering.join();
    }
  }

  Endpoint Address()
  {
    return { "127.0.0.1", m_acceptor.local_endpoint().port() };
  }

  std::uint64_t SentBytes() const { return m_sentBytes; }

private:
  void Serve()
  {
    while (true) {
      tcp::socket socket = m_acceptor.accept();
      if (m_isStopping) {
        return;
      }
      m_answering.emplace_back(
        [this, socket = std::move(socket)]() mutable { Answer(socket); });
    }
  }

  void Answer(tcp::socket& aSocket)
  {
    boost::system::error_code error;
    boost::asio::streambuf request;
    boost::asio::read_until(aSocket, request, "\r\n\r\n", error);
    boost::asio::write(aSocket, boost::asio::buffer(m_start), error);
    while (!error && !m_isStopping) {
      m_sentBytes +=
        boost::asio::write(aSocket, boost::asio::buffer(m_block), error);
    }
  }

  boost::asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::string m_start;
  std::string m_block;
  std::atomic<bool> m_isStopping{ false };
  std::atomic<std::uint64_t> m_sentBytes{ 0 };
  std::vector<std::thread> m_answering;
  std::thread m_thread;
};

struct Client
{
  Client()
  {
    HttpClientSettings settings;
    settings.m_bodyBytes = kBodyBytes;
    settings.m_account = m_account;
    m_client = std::make_unique<HttpClient>(m_threads, settings);
  }

  std::future<HttpResult> Send(const Endpoint& aEndpoint) const
  {
    auto promise = std::make_shared<std::promise<HttpResult>>();
    Send(aEndpoint, {}, [promise](HttpResult aResult) {
      promise->set_value(std::move(aResult));
    });
    return promise->get_future();
  }

  void Send(const Endpoint& aEndpoint,
            HttpHeaders aHeaders,
            HttpCallback aCallback) const
  {
    HttpRequest request;
    request.m_headers = std::move(aHeaders);
    request.m_headers.push_back({ "Echo", "x" });
    HttpSendOptions options;
    options.m_echoedHeader = "Echo";
    options.m_timeout = kTimeout;
    m_client->Send(aEndpoint, request, options, std::move(aCallback));
  }

  IoThreads m_threads{ 1 };
  const std::shared_ptr<MemoryAccount> m_account =
    std::make_shared<MemoryAccount>(kHeldBytes);
  std::unique_ptr<HttpClient> m_client;
};

struct EndlessCase
{
  const char* m_name;
  std::string m_start;
  std::string m_repeated;
};

class EndlessAnswer : public testing::TestWithParam<EndlessCase>
{};

/* Servers in trouble may send bytes that are no answer until their caller
   closes the connection. */
TEST_P(EndlessAnswer, FailsWithinTheBodyLimitAndClosesTheConnection)
{
  EndlessServer server(GetParam().m_start, GetParam().m_repeated);
  Client client;
  const Instant start = IoThreads::Now();
  const HttpResult result = client.Send(server.Address()).get();
  ASSERT_TRUE(std::holds_alternative<HttpFailure>(result));
  EXPECT_TRUE(std::get<HttpFailure>(result).m_sent);
  EXPECT_FALSE(std::get<HttpFailure>(result).m_timedOut);
  EXPECT_LT(IoThreads::Now() - start, kTimeout / 4);
  EXPECT_LT(server.SentBytes(), kBodyBytes + kSocketBytes);
}

INSTANTIATE_TEST_SUITE_P(
  Cases,
  EndlessAnswer,
  testing::Values(
    EndlessCase{ "NoHttp", "", "no answer " },
    EndlessCase{ "Field", "HTTP/1.1 200 OK\r\nX: ", "x" },
    EndlessCase{ "Fields", "HTTP/1.1 200 OK\r\n", "X: x\r\n" },
    EndlessCase{ "Body", "HTTP/1.1 200 OK\r\nEcho: x\r\n\r\n", "body" },
    EndlessCase{ "Chunks",
                 "HTTP/1.1 200 OK\r\nEcho: x\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n",
                 "4\r\nbody\r\n" },
    EndlessCase{ "ChunkExtension",
                 "HTTP/1.1 200 OK\r\nEcho: x\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n4;",
                 "x" },
    EndlessCase{ "Trailer",
                 "HTTP/1.1 200 OK\r\nEcho: x\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                 "X: x\r\n" },
    EndlessCase{ "Informational", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    EndlessCase{ "OtherAnswers",
                 "",
                 "HTTP/1.1 200 OK\r\nEcho: y\r\nContent-Length: 0\r\n\r\n" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(EndlessAnswers, TogetherStayWithinTheBytesHeld)
{
  constexpr int count = 8;
  EndlessServer server("HTTP/1.1 200 OK\r\nEcho: x\r\n\r\n", "body");
  Client client;
  std::vector<std::future<HttpResult>> results;
  results.reserve(count);
  for (int number = 0; number < count; ++number) {
    results.push_back(client.Send(server.Address()));
  }
  for (auto& pending : results) {
    const HttpResult result = pending.get();
    ASSERT_TRUE(std::holds_alternative<HttpFailure>(result));
    EXPECT_FALSE(std::get<HttpFailure>(result).m_timedOut);
  }
  EXPECT_GT(client.m_account->Shortages(), 0U);
  EXPECT_LE(client.m_account->Peak(), kHeldBytes);
  EXPECT_EQ(client.m_account->Held(), 0U);
}

/* Issue 58: three answers that fit one after the other all failed. */
TEST(EndlessAnswers, AnswersThatFitOneAfterTheOtherAreAllRead)
{
  constexpr int count = 6;
  const std::string body(kBodyBytes, 'b');
  ScriptedServer server([&](const ScriptedRequest& aRequest) {
    const std::string fields =
      FindField(aRequest, "Length") == "told"
        ? "Content-Length: " + std::to_string(kBodyBytes) + "\r\n"
        : "Connection: close\r\n";
    return ScriptedAnswer{ "HTTP/1.1 200 OK\r\nEcho: x\r\n" + fields + "\r\n" +
                             body,
                           ConnectionEnding::Finish };
  });
  for (const char* length : { "told", "open" }) {
    Client client;
    std::vector<std::future<bool>> results;
    results.reserve(count);
    for (int number = 0; number < count; ++number) {
      // A response holds its memory until it is released.
      auto isWhole = std::make_shared<std::promise<bool>>();
      results.push_back(isWhole->get_future());
      client.Send(server.Address(),
                  { { "Length", length } },
                  [&body, isWhole](const HttpResult& aResult) {
                    const auto* response = std::get_if<HttpResponse>(&aResult);
                    isWhole->set_value(response != nullptr &&
                                       response->m_body == body);
                  });
    }
    for (auto& isWhole : results) {
      EXPECT_TRUE(isWhole.get()) << length;
    }
    EXPECT_LE(client.m_account->Peak(), kHeldBytes);
  }
}

TEST(EndlessAnswers, AnswerAfterInformationalOnesIsAccepted)
{
  IoThreads threads(1);
  HttpClient client(threads, {});
  boost::asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(tcp::v4(), 0));
  std::thread answering([&] {
    tcp::socket socket = acceptor.accept();
    boost::asio::streambuf request;
    boost::asio::read_until(socket, request, "\r\n\r\n");
    boost::asio::write(socket,
                       boost::asio::buffer(std::string_view(
                         "HTTP/1.1 103 Early Hints\r\n\r\n"
                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
  });
  const HttpResult result =
    client.SendAndWait({ "127.0.0.1", acceptor.local_endpoint().port() },
                       { "GET", "/", {}, "" },
                       kTimeout);
  answering.join();
  ASSERT_TRUE(std::holds_alternative<HttpResponse>(result));
  EXPECT_EQ(std::get<HttpResponse>(result).m_body, "ok");
}

}

}
