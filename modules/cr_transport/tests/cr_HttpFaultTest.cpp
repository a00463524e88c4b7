#include <future>

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "cr_transport/cr_transport.h"
#include "relay_stand_in/relay_stand_in.h"

namespace cr {

namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::uint16_t kServerPort = 24100;
constexpr std::uint16_t kRelayPort = 24101;
constexpr Duration kLongTimeout = Seconds(20);
constexpr Duration kShortTimeout = Milliseconds(300);

/* An echo server behind a relay that can stop forwarding. */
class HttpFault : public testing::Test
{
protected:
  HttpFault()
    : m_threads(2)
    , m_server(
        m_threads,
        Limits(),
        [](const HttpRequest& aRequest, const HttpResponder& aResponder) {
          aResponder.Send(MakeTextResponse(kHttpOk, aRequest.m_body));
        })
    , m_relay(m_threads, Server())
  {
    EXPECT_TRUE(m_server.Listen(Server()));
    EXPECT_TRUE(m_relay.Listen(Relay()));
  }

  ~HttpFault() override { m_threads.Stop(); }

  static HttpLimits Limits()
  {
    HttpLimits limits;
    limits.m_connections = 4;
    limits.m_transfer = Milliseconds(200);
    return limits;
  }

  static Endpoint Server() { return { "127.0.0.1", kServerPort }; }
  static Endpoint Relay() { return { "127.0.0.1", kRelayPort }; }

  bool Echoes(HttpClient& aClient, Duration aTimeout, const std::string& aText)
  {
    const HttpResult result =
      aClient.SendAndWait(Relay(), { "POST", "/", {}, aText }, aTimeout);
    const auto* response = std::get_if<HttpResponse>(&result);
    return response != nullptr && response->m_body == aText;
  }

  /* Writes the text to a plain TCP connection, and returns everything received
     until the server closes it. */
  static std::string Exchange(const std::string& aText)
  {
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), kServerPort });
    boost::asio::write(socket, boost::asio::buffer(aText));
    std::string answer;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer;
  }

  IoThreads m_threads;
  HttpServer m_server;
  FreezingRelay m_relay;
};

TEST_F(HttpFault, ConnectionBeyondIdleLimitIsNotReused)
{
  HttpClientSettings settings;
  settings.m_idleLimit = Duration::zero();
  HttpClient client(m_threads, settings);
  ASSERT_TRUE(Echoes(client, kLongTimeout, "one"));
  m_relay.Freeze();
  EXPECT_TRUE(Echoes(client, kLongTimeout, "two"));
  EXPECT_EQ(m_relay.AcceptedConnections(), 2U);
}

TEST_F(HttpFault, UnresponsiveConnectionsCauseOnlyOneTimeout)
{
  HttpClientSettings settings;
  settings.m_idleLimit = kLongTimeout;
  HttpClient client(m_threads, settings);
  constexpr int count = 3;
  std::atomic<int> answered{ 0 };
  for (int number = 0; number < count; ++number) {
    client.SendOnNewConnection(Relay(),
                               { "POST", "/", {}, "x" },
                               kLongTimeout,
                               [&](const HttpResult&) { ++answered; });
  }
  while (answered < count) {
    std::this_thread::yield();
  }
  m_relay.Freeze();
  EXPECT_FALSE(Echoes(client, kShortTimeout, "lost"));
  EXPECT_TRUE(Echoes(client, kLongTimeout, "new"));
  EXPECT_EQ(m_relay.AcceptedConnections(), count + 1U);
}

TEST_F(HttpFault, RequestOnNewConnectionBypassesUnresponsiveOnes)
{
  HttpClientSettings settings;
  settings.m_idleLimit = kLongTimeout;
  HttpClient client(m_threads, settings);
  ASSERT_TRUE(Echoes(client, kLongTimeout, "one"));
  m_relay.Freeze();
  std::promise<HttpResult> promise;
  client.SendOnNewConnection(
    Relay(), { "POST", "/", {}, "two" }, kLongTimeout, [&](HttpResult aResult) {
      promise.set_value(std::move(aResult));
    });
  const HttpResult result = promise.get_future().get();
  ASSERT_TRUE(std::holds_alternative<HttpResponse>(result));
  EXPECT_EQ(std::get<HttpResponse>(result).m_body, "two");
}

TEST_F(HttpFault, MalformedInputGetsClientError)
{
  EXPECT_EQ(Exchange("nonsense\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
  EXPECT_EQ(
    Exchange("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n").substr(0, 12),
    "HTTP/1.1 400");
  EXPECT_EQ(Exchange("POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n")
              .substr(0, 12),
            "HTTP/1.1 413");
  EXPECT_EQ(
    Exchange("GET / HTTP/1.1\r\nX: " + std::string(40000, 'x') + "\r\n\r\n")
      .substr(0, 12),
    "HTTP/1.1 431");
}

/* As endless answers of a server: the buffer of a request must be bounded. */
TEST_F(HttpFault, EndlessChunkExtensionOrTrailerGetsClientError)
{
  const std::string header =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t endlessBytes = std::size_t{ 8 } * 1024 * 1024;
  const std::string extension = header + "4;" + std::string(endlessBytes, 'x');
  std::string trailer = header + "0\r\n";
  while (trailer.size() < endlessBytes) {
    trailer += "X: x\r\n";
  }
  for (const std::string& request : { extension, trailer }) {
    EXPECT_EQ(Exchange(request).substr(0, 12), "HTTP/1.1 431");
  }
}

TEST_F(HttpFault, SlowRequestTimesOut)
{
  EXPECT_EQ(Exchange("POST / HTTP/1.1\r\nContent-Le"), "");
}

TEST_F(HttpFault, ConnectionsBeyondTheLimitAreClosed)
{
  boost::asio::io_context context;
  std::vector<tcp::socket> sockets;
  sockets.reserve(Limits().m_connections);
  HttpClient client(m_threads, {});
  for (std::size_t number = 0; number < Limits().m_connections; ++number) {
    sockets.emplace_back(context).connect(
      { boost::asio::ip::make_address("127.0.0.1"), kServerPort });
  }
  EXPECT_EQ(Exchange(""), "");
  sockets.clear();
  while (!Echoes(client, kLongTimeout, "again")) {
    std::this_thread::yield();
  }
}

}

}
