#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "cr_transport/cr_transport.h"

namespace cr {

namespace {

using tcp = boost::asio::ip::tcp;

constexpr Duration kLongWait = Seconds(10);
constexpr Duration kSettleTime = Milliseconds(60);

bool
IsGet(const HttpRequest& aRequest)
{
  return aRequest.m_method == "GET";
}

/* A server whose requests are answered by the test. GET may overlap. */
class HeldServer
{
public:
  explicit HeldServer(HttpLimits aLimits = {})
    : m_server(
        m_threads,
        aLimits,
        [this](const HttpRequest& aRequest, const HttpResponder& aResponder) {
          Hold(aRequest, aResponder);
        },
        IsGet)
    , m_address(m_server.Listen({ "127.0.0.1", 0 }).value())
  {
  }

  ~HeldServer()
  {
    m_server.Close();
    m_threads.Stop();
  }

  bool WaitFor(const std::string& aTarget)
  {
    std::unique_lock lock(m_mutex);
    return m_arrival.wait_for(
      lock, kLongWait, [&] { return m_held.contains(aTarget); });
  }

  /* Waits on the server's timers: a stall of the process delays them together
     with those of the connections. */
  void WaitOnTimers(Duration aDuration)
  {
    std::promise<void> expired;
    m_threads.After(aDuration, [&] { expired.set_value(); });
    expired.get_future().wait();
  }

  bool HasSeen(const std::string& aTarget)
  {
    const std::lock_guard lock(m_mutex);
    return m_held.contains(aTarget);
  }

  std::size_t SeenCount()
  {
    const std::lock_guard lock(m_mutex);
    return m_held.size();
  }

  HttpResponder Find(const std::string& aTarget)
  {
    const std::lock_guard lock(m_mutex);
    return m_held.at(aTarget).m_responder;
  }

  HttpRequest Request(const std::string& aTarget)
  {
    const std::lock_guard lock(m_mutex);
    return m_held.at(aTarget).m_request;
  }

  void Respond(const std::string& aTarget, bool aClose = false)
  {
    HttpResponse response = MakeTextResponse(kHttpOk, "for " + aTarget);
    response.m_close = aClose;
    Find(aTarget).Send(std::move(response));
  }

  int Disconnects() const { return m_disconnects; }

  /* Returns whether the condition holds before a long time has passed. */
  static bool Eventually(const std::function<bool()>& aCondition)
  {
    const Instant limit = IoThreads::Now() + kLongWait;
    while (!aCondition() && IoThreads::Now() < limit) {
      std::this_thread::sleep_for(Milliseconds(1));
    }
    return aCondition();
  }

  bool IsIdleSoon() const
  {
    return Eventually([&] { return m_server.RequestsInProgress() == 0; });
  }

  IoThreads m_threads{ 1 };
  HttpServer m_server;
  Endpoint m_address;

private:
  struct Held
  {
    HttpRequest m_request;
    HttpResponder m_responder;
  };

  void Hold(const HttpRequest& aRequest, const HttpResponder& aResponder)
  {
    {
      const std::lock_guard lock(m_mutex);
      const bool isNew =
        m_held.insert({ aRequest.m_target, { aRequest, aResponder } }).second;
      EXPECT_TRUE(isNew) << aRequest.m_target << " ran twice";
    }
    aResponder.NotifyOnDisconnect([this] { ++m_disconnects; });
    m_arrival.notify_all();
  }

  std::mutex m_mutex;
  std::condition_variable m_arrival;
  std::map<std::string, Held> m_held;
  std::atomic<int> m_disconnects{ 0 };
};

/* One connection to the server. */
class Caller
{
public:
  explicit Caller(const Endpoint& aEndpoint)
    : m_socket(m_context)
  {
    m_socket.connect(
      { boost::asio::ip::make_address(aEndpoint.m_address), aEndpoint.m_port });
  }

  void Write(std::string_view aText)
  {
    boost::system::error_code ignored;
    boost::asio::write(m_socket, boost::asio::buffer(aText), ignored);
  }

  void Get(const std::string& aTarget)
  {
    Write("GET " + aTarget + " HTTP/1.1\r\n\r\n");
  }

  void Post(const std::string& aTarget)
  {
    Write("POST " + aTarget + " HTTP/1.1\r\nContent-Length: 1\r\n\r\nb");
  }

  /* Returns the header and body of the next response; empty at the end of the
     connection. */
  std::string ReadResponse()
  {
    boost::system::error_code error;
    const std::size_t end = boost::asio::read_until(
      m_socket, boost::asio::dynamic_buffer(m_received), "\r\n\r\n", error);
    if (error) {
      return {};
    }
    const std::string name = "Content-Length: ";
    const std::size_t length =
      std::stoul(m_received.substr(m_received.find(name) + name.size()));
    if (m_received.size() < end + length) {
      boost::asio::read(
        m_socket,
        boost::asio::dynamic_buffer(m_received),
        boost::asio::transfer_exactly(end + length - m_received.size()),
        error);
    }
    if (error) {
      return {};
    }
    std::string response = m_received.substr(0, end + length);
    m_received.erase(0, end + length);
    return response;
  }

  void ExpectResponse(const std::string& aTarget)
  {
    EXPECT_TRUE(ReadResponse().ends_with("for " + aTarget)) << aTarget;
  }

  void Close() { m_socket.close(); }

private:
  boost::asio::io_context m_context;
  tcp::socket m_socket;
  std::string m_received;
};

bool
IsClosing(const std::string& aResponse)
{
  return aResponse.find("Connection: close") != std::string::npos;
}

/* The load of fichas-tejo: customers send further requests before the first one
   is answered. A slow request must not hold back those behind it. */
TEST(HttpPipeline, SlowFirstRequestDoesNotDelayTheNextOne)
{
  HeldServer server;
  Caller caller(server.m_address);
  caller.Get("/slow");
  caller.Get("/fast");
  ASSERT_TRUE(server.WaitFor("/slow"));
  EXPECT_TRUE(server.WaitFor("/fast"));
  server.Respond("/fast");
  server.Respond("/slow");
  caller.ExpectResponse("/slow");
  caller.ExpectResponse("/fast");
}

TEST(HttpPipeline, ResponsesKeepTheOrderOfTheRequests)
{
  std::vector<std::string> targets = { "/1", "/2", "/3", "/4", "/5" };
  std::mt19937 random(1);
  for (int round = 0; round < 20; ++round) {
    HeldServer server;
    Caller caller(server.m_address);
    for (const std::string& target : targets) {
      caller.Get(target);
    }
    std::vector<std::string> order = targets;
    std::shuffle(order.begin(), order.end(), random);
    for (const std::string& target : order) {
      ASSERT_TRUE(server.WaitFor(target));
      server.Respond(target);
    }
    for (const std::string& target : targets) {
      caller.ExpectResponse(target);
    }
    EXPECT_TRUE(server.IsIdleSoon());
  }
}

TEST(HttpPipeline, RequestsThatMayNotOverlapWaitForTheirTurn)
{
  HeldServer server;
  Caller caller(server.m_address);
  caller.Get("/safe");
  caller.Post("/unsafe");
  caller.Get("/later");
  ASSERT_TRUE(server.WaitFor("/safe"));
  std::this_thread::sleep_for(kSettleTime);
  EXPECT_FALSE(server.HasSeen("/unsafe"));
  EXPECT_FALSE(server.HasSeen("/later"));
  server.Respond("/safe");
  ASSERT_TRUE(server.WaitFor("/unsafe"));
  EXPECT_GE(server.Request("/unsafe").m_waited, kSettleTime / 2);
  std::this_thread::sleep_for(kSettleTime);
  EXPECT_FALSE(server.HasSeen("/later"));
  server.Respond("/unsafe");
  ASSERT_TRUE(server.WaitFor("/later"));
  server.Respond("/later");
  for (const char* target : { "/safe", "/unsafe", "/later" }) {
    caller.ExpectResponse(target);
  }
}

TEST(HttpPipeline, RequestsInProgressOnAConnectionAreBounded)
{
  constexpr std::size_t sent = 200;
  constexpr std::size_t max = 32;
  HeldServer server;
  Caller caller(server.m_address);
  for (std::size_t number = 0; number < sent; ++number) {
    caller.Get("/" + std::to_string(number));
  }
  ASSERT_TRUE(server.WaitFor("/" + std::to_string(max - 1)));
  std::this_thread::sleep_for(kSettleTime);
  EXPECT_EQ(server.SeenCount(), max);
  for (std::size_t number = 0; number < sent; ++number) {
    const std::string target = "/" + std::to_string(number);
    ASSERT_TRUE(server.WaitFor(target));
    server.Respond(target);
    caller.ExpectResponse(target);
  }
}

/* The first response is not due yet, and those behind it are long: no further
   request begins, and room for bodies of other connections is left. */
TEST(HttpPipeline, BytesOfWaitingResponsesAreBounded)
{
  constexpr std::size_t length = 100 * 1000;
  constexpr std::size_t maxBegun = 5;
  HeldServer server;
  Caller caller(server.m_address);
  caller.Get("/first");
  ASSERT_TRUE(server.WaitFor("/first"));
  std::size_t begun = 0;
  for (; begun < 20; ++begun) {
    const std::string target = "/" + std::to_string(begun);
    caller.Get(target);
    std::this_thread::sleep_for(Milliseconds(10));
    if (!server.HasSeen(target)) {
      break;
    }
    server.Find(target).Send(
      MakeTextResponse(kHttpOk, std::string(length, 'r')));
  }
  EXPECT_LE(begun, maxBegun);
  server.Respond("/first");
  caller.ExpectResponse("/first");
  for (std::size_t number = 0; number < begun; ++number) {
    EXPECT_GT(caller.ReadResponse().size(), length);
  }
  EXPECT_TRUE(server.WaitFor("/" + std::to_string(begun)));
}

TEST(HttpPipeline, WaitingResponsesCountAsHeldBytes)
{
  HttpLimits limits;
  limits.m_heldBodyBytes = 1000;
  HeldServer server(limits);
  Caller caller(server.m_address);
  caller.Get("/slow");
  caller.Get("/long");
  ASSERT_TRUE(server.WaitFor("/long"));
  server.Find("/long").Send(MakeTextResponse(kHttpOk, std::string(900, 'r')));
  std::this_thread::sleep_for(kSettleTime);
  const std::string upload =
    "POST /up HTTP/1.1\r\nContent-Length: 200\r\n\r\n" + std::string(200, 'b');
  Caller refused(server.m_address);
  refused.Write(upload);
  EXPECT_NE(refused.ReadResponse().find("503"), std::string::npos);
  server.Respond("/slow");
  caller.ExpectResponse("/slow");
  EXPECT_FALSE(caller.ReadResponse().empty());
  Caller taken(server.m_address);
  taken.Write(upload);
  ASSERT_TRUE(server.WaitFor("/up"));
  server.Respond("/up");
  taken.ExpectResponse("/up");
}

TEST(HttpPipeline, ClosingServerAnswersAllRequestsInProgressFirst)
{
  HeldServer server;
  Caller caller(server.m_address);
  const std::vector<std::string> targets = { "/1", "/2", "/3", "/4", "/5" };
  for (const std::string& target : targets) {
    caller.Get(target);
  }
  caller.Post("/behind");
  ASSERT_TRUE(server.WaitFor("/5"));
  server.m_server.CloseAfterResponses();
  for (const std::string& target : targets) {
    server.Respond(target);
  }
  for (const std::string& target : targets) {
    const std::string response = caller.ReadResponse();
    EXPECT_TRUE(response.ends_with("for " + target));
    EXPECT_EQ(IsClosing(response), target == targets.back()) << target;
  }
  EXPECT_EQ(caller.ReadResponse(), "");
  EXPECT_FALSE(server.HasSeen("/behind"));
}

TEST(HttpPipeline, ClosingResponseIsFollowedByTheOnesInProgress)
{
  HeldServer server;
  Caller caller(server.m_address);
  caller.Get("/1");
  caller.Get("/2");
  caller.Post("/behind");
  ASSERT_TRUE(server.WaitFor("/2"));
  server.Respond("/1", true);
  const std::string first = caller.ReadResponse();
  EXPECT_FALSE(IsClosing(first));
  caller.Get("/late");
  server.Respond("/2");
  const std::string second = caller.ReadResponse();
  EXPECT_TRUE(second.ends_with("for /2"));
  EXPECT_TRUE(IsClosing(second));
  EXPECT_EQ(caller.ReadResponse(), "");
  EXPECT_EQ(server.SeenCount(), 2U);
}

/* Unread bytes would reset the connection and destroy the last response. */
TEST(HttpPipeline, LastResponseArrivesAlthoughMoreRequestsWereSent)
{
  for (int round = 0; round < 20; ++round) {
    HeldServer server;
    Caller caller(server.m_address);
    caller.Get("/1");
    ASSERT_TRUE(server.WaitFor("/1"));
    server.m_server.CloseAfterResponses();
    server.Respond("/1");
    for (int number = 0; number < 20; ++number) {
      caller.Get("/behind" + std::to_string(number));
    }
    std::this_thread::sleep_for(Milliseconds(5));
    caller.ExpectResponse("/1");
    EXPECT_EQ(caller.ReadResponse(), "");
    EXPECT_EQ(server.SeenCount(), 1U);
  }
}

TEST(HttpPipeline, MalformedRequestIsRefusedAfterEarlierResponses)
{
  HeldServer server;
  Caller caller(server.m_address);
  caller.Get("/1");
  caller.Get("/2");
  caller.Write("no request\r\n\r\nGET /behind HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(server.WaitFor("/2"));
  server.Respond("/2");
  server.Respond("/1");
  caller.ExpectResponse("/1");
  caller.ExpectResponse("/2");
  const std::string refusal = caller.ReadResponse();
  EXPECT_NE(refusal.find(" 400 "), std::string::npos);
  EXPECT_TRUE(IsClosing(refusal));
  EXPECT_EQ(caller.ReadResponse(), "");
  EXPECT_FALSE(server.HasSeen("/behind"));
}

/* The half of a request that never ends must not cut off those before it. */
TEST(HttpPipeline, HalfReadRequestIsDroppedAfterEarlierResponses)
{
  HttpLimits limits;
  limits.m_header = Milliseconds(50);
  limits.m_idle = Milliseconds(50);
  HeldServer server(limits);
  Caller caller(server.m_address);
  caller.Get("/1");
  caller.Write("GET /half HTTP/1.1\r\nName: ");
  ASSERT_TRUE(server.WaitFor("/1"));
  for (int wait = 0; wait < 4; ++wait) {
    server.WaitOnTimers(limits.m_header);
  }
  server.Respond("/1");
  const std::string response = caller.ReadResponse();
  EXPECT_TRUE(response.ends_with("for /1"));
  EXPECT_TRUE(IsClosing(response));
  EXPECT_EQ(caller.ReadResponse(), "");
}

TEST(HttpPipeline, RequestsBehindACallersCloseAreNotHandled)
{
  HeldServer server;
  Caller caller(server.m_address);
  caller.Get("/1");
  caller.Write("GET /last HTTP/1.1\r\nConnection: close\r\n\r\n");
  caller.Get("/behind");
  ASSERT_TRUE(server.WaitFor("/last"));
  server.Respond("/last");
  server.Respond("/1");
  caller.ExpectResponse("/1");
  EXPECT_TRUE(IsClosing(caller.ReadResponse()));
  EXPECT_EQ(caller.ReadResponse(), "");
  EXPECT_FALSE(server.HasSeen("/behind"));
}

TEST(HttpPipeline, DisconnectedCallerCancelsAllItsRequests)
{
  HeldServer server;
  {
    Caller caller(server.m_address);
    for (const char* target : { "/1", "/2", "/3" }) {
      caller.Get(target);
    }
    caller.Post("/behind");
    ASSERT_TRUE(server.WaitFor("/3"));
    server.Respond("/2");
    std::this_thread::sleep_for(kSettleTime);
  }
  EXPECT_TRUE(server.IsIdleSoon());
  EXPECT_TRUE(
    HeldServer::Eventually([&] { return server.Disconnects() == 2; }));
  EXPECT_FALSE(server.HasSeen("/behind"));
}

TEST(HttpPipeline, AbortedRequestClosesAfterEarlierResponses)
{
  HeldServer server;
  Caller caller(server.m_address);
  for (const char* target : { "/1", "/2", "/3" }) {
    caller.Get(target);
  }
  ASSERT_TRUE(server.WaitFor("/3"));
  server.Find("/2").Close();
  std::this_thread::sleep_for(kSettleTime);
  EXPECT_EQ(server.Disconnects(), 0);
  server.Respond("/1");
  caller.ExpectResponse("/1");
  EXPECT_EQ(caller.ReadResponse(), "");
  EXPECT_TRUE(
    HeldServer::Eventually([&] { return server.Disconnects() == 1; }));
}

/* Plays one seed: a caller pipelines requests of both kinds, the server answers
   in any order and at times closes. */
class RandomSchedule
{
public:
  explicit RandomSchedule(unsigned aSeed)
    : m_random(aSeed)
    , m_server(
        m_threads,
        {},
        [this](const HttpRequest& aRequest, const HttpResponder& aResponder) {
          Handle(aRequest, aResponder);
        },
        IsGet)
    , m_caller(m_server.Listen({ "127.0.0.1", 0 }).value())
  {
  }

  ~RandomSchedule()
  {
    m_server.Close();
    m_threads.Stop();
  }

  void Play()
  {
    const bool isClosedEarly = Draw(3) == 0;
    const int closedAt = Draw(kRequests);
    std::string text;
    for (int number = 0; number < kRequests; ++number) {
      const std::string target = "/" + std::to_string(number);
      text += Draw(4) == 0
                ? "POST " + target + " HTTP/1.1\r\nContent-Length: 1\r\n\r\nb"
                : "GET " + target + " HTTP/1.1\r\n\r\n";
      if (isClosedEarly && number == closedAt) {
        m_server.CloseAfterResponses();
      }
      if (Draw(3) == 0 || number + 1 == kRequests) {
        const std::size_t cut = text.size() - static_cast<std::size_t>(Draw(8));
        m_caller.Write(std::string_view(text).substr(0, cut));
        text.erase(0, cut);
      }
    }
    m_caller.Write(text);
    const int answered = CountAnswers();
    EXPECT_TRUE(answered == kRequests || m_isClosing || isClosedEarly);
    // Whatever began was answered, and nothing began behind it.
    const std::lock_guard lock(m_mutex);
    EXPECT_EQ(static_cast<int>(m_begun.size()), answered);
    EXPECT_EQ(m_overlapsOfUnsafe, 0);
  }

private:
  static constexpr int kRequests = 40;

  int Draw(int aBound)
  {
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(m_random() % static_cast<unsigned>(aBound));
  }

  /* Reads until the last request is answered or the server has closed. */
  int CountAnswers()
  {
    int answered = 0;
    while (answered < kRequests) {
      const std::string response = m_caller.ReadResponse();
      if (response.empty()) {
        break;
      }
      EXPECT_TRUE(response.ends_with("for /" + std::to_string(answered)));
      ++answered;
      if (IsClosing(response)) {
        EXPECT_EQ(m_caller.ReadResponse(), "");
        break;
      }
    }
    return answered;
  }

  void Handle(const HttpRequest& aRequest, const HttpResponder& aResponder)
  {
    const bool isUnsafe = !IsGet(aRequest);
    const auto delay = Milliseconds(Draw(6));
    const bool closes = Draw(60) == 0;
    {
      const std::lock_guard lock(m_mutex);
      EXPECT_TRUE(m_begun.insert(aRequest.m_target).second);
      m_overlapsOfUnsafe += isUnsafe && m_running > 0 ? 1 : 0;
      m_overlapsOfUnsafe += m_isUnsafeRunning ? 1 : 0;
      ++m_running;
      m_isUnsafeRunning = isUnsafe;
    }
    m_threads.After(
      delay, [this, aResponder, closes, target = aRequest.m_target] {
        HttpResponse response = MakeTextResponse(kHttpOk, "for " + target);
        response.m_close = closes;
        {
          const std::lock_guard lock(m_mutex);
          m_isClosing = m_isClosing || closes;
          --m_running;
          m_isUnsafeRunning = false;
        }
        aResponder.Send(std::move(response));
      });
  }

  std::mutex m_mutex;
  std::mt19937 m_random;
  std::set<std::string> m_begun;
  int m_running = 0;
  int m_overlapsOfUnsafe = 0;
  bool m_isUnsafeRunning = false;
  bool m_isClosing = false;
  IoThreads m_threads{ 1 };
  HttpServer m_server;
  Caller m_caller;
};

TEST(HttpPipeline, EachRequestIsAnsweredOnceOrNotHandledInAnySchedule)
{
  constexpr unsigned seeds = 150;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    SCOPED_TRACE(seed);
    RandomSchedule(seed).Play();
    ASSERT_FALSE(HasFailure());
  }
}

}

}
