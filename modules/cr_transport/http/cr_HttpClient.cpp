#include "cr_transport/http/cr_HttpClient.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "cr_core/cr_core.h"
#include "cr_transport/http/cr_HttpBody.h"
#include "cr_transport/http/cr_HttpResponseReader.h"
#include "cr_transport/io/cr_ConnectionExecutor.h"

namespace cr {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

constexpr unsigned kHttpVersion = 11;
/* Lower status codes are informational. */
constexpr unsigned kFirstFinalStatus = 200;
/* Lower final status codes tell success. */
constexpr unsigned kFirstRedirectionStatus = 300;

using Message = http::request<SharedBodyType>;

Message
ToMessage(HttpRequest&& aRequest, const Endpoint& aEndpoint)
{
  Message message;
  message.version(kHttpVersion);
  message.method_string(aRequest.m_method);
  message.target(aRequest.m_target);
  message.set(http::field::host, ToText(aEndpoint));
  for (const HttpHeader& header : aRequest.m_headers) {
    if (IsSameHeader(header.m_name, "Host")) {
      message.set(http::field::host, header.m_value);
    } else {
      message.insert(header.m_name, header.m_value);
    }
  }
  message.body() = ShareBody(std::move(aRequest));
  message.keep_alive(true);
  message.prepare_payload();
  return message;
}

constexpr int kKeepaliveProbes = 2;
/* Max responses, informational ones or those to earlier requests, that are
   discarded before the connection is closed. */
constexpr int kMaxDroppedResponses = 3;
/* A connection that has carried as many requests is closed, which bounds the
   memory for their identifiers. */
constexpr std::size_t kMaxRequestsPerConnection = 1024;

/* Sets the options of a new connection. The kernel breaks it when the other
   host stops acknowledging. */
void
SetSocketOptions(tcp::socket& aSocket, Duration aLimit)
{
  using asio::detail::socket_option::integer;
  const auto milliseconds = static_cast<int>(ToMilliseconds(aLimit));
  const int seconds = std::max(1, milliseconds / 1000);
  beast::error_code ignored;
  // For reads and writes that must not wait, such as the one in IsStale().
  aSocket.non_blocking(true, ignored);
  aSocket.set_option(tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  aSocket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(seconds), ignored);
  aSocket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(seconds), ignored);
  aSocket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(kKeepaliveProbes),
                     ignored);
  aSocket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(milliseconds),
                     ignored);
}

struct Connection
{
  explicit Connection(IoThreads& aThreads)
    : m_stream(MakeConnectionExecutor(aThreads))
  {
  }

  bool HasCarried(std::uint64_t aIdentity) const
  {
    return std::find(m_carried.begin(), m_carried.end(), aIdentity) !=
           m_carried.end();
  }

  beast::tcp_stream m_stream;
  HttpResponseReader m_reader;
  Instant m_idleSince;
  /* Hashes of the identifiers of the requests sent so far. Two requests with
     the same hash only cost a connection. */
  std::vector<std::uint64_t> m_carried;
};

using ConnectionPointer = std::unique_ptr<Connection>;

/* Returns whether the peer closed the connection, or sent unexpected bytes,
   while the connection was idle. */
bool
IsStale(Connection& aConnection)
{
  beast::error_code error;
  auto& socket = aConnection.m_stream.socket();
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

}

class HttpClient::Implementation
  : public std::enable_shared_from_this<HttpClient::Implementation>
{
public:
  class Exchange;

  Implementation(IoThreads& aThreads, HttpClientSettings aSettings)
    : m_threads(aThreads)
    , m_settings(std::move(aSettings))
    , m_account(m_settings.m_account
                  ? m_settings.m_account
                  : std::make_shared<MemoryAccount>(m_settings.m_heldBodyBytes))
  {
  }

  ConnectionPointer AcquireIdle(const Endpoint& aEndpoint,
                                Duration aIdleLimit,
                                std::uint64_t aIdentity);
  void ReleaseIdle(const Endpoint& aEndpoint, ConnectionPointer aConnection);
  void CloseIdle(const Endpoint& aEndpoint);
  void Close();

  IoThreads& m_threads;
  const HttpClientSettings m_settings;
  const std::shared_ptr<MemoryAccount> m_account;
  std::atomic<std::uint64_t> m_lastUnidentified{ 0 };

private:
  std::mutex m_mutex;
  bool m_closed = false;
  std::map<Endpoint, std::vector<ConnectionPointer>> m_idle;
};

class HttpClient::Implementation::Exchange
  : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(std::shared_ptr<Implementation> aClient,
           Endpoint aEndpoint,
           HttpRequest&& aRequest,
           HttpSendOptions aOptions,
           HttpCallback aCallback)
    : m_client(std::move(aClient))
    , m_endpoint(std::move(aEndpoint))
    , m_options(std::move(aOptions))
    , m_requestMemory(MemoryOf(aRequest))
    , m_memory(m_client->m_account)
    , m_message(ToMessage(std::move(aRequest), m_endpoint))
    , m_callback(std::move(aCallback))
    , m_identity(Identity())
    , m_connection(m_client->AcquireIdle(m_endpoint, IdleLimit(), m_identity))
    , m_reused(m_connection != nullptr)
  {
    if (!m_reused) {
      m_connection = std::make_unique<Connection>(m_client->m_threads);
    }
    m_memory.Resize(m_requestMemory);
    m_executor = m_connection->m_stream.get_executor();
    m_deadline.emplace(m_executor);
  }

  void Start()
  {
    asio::dispatch(m_executor, [self = shared_from_this()] {
      self->m_deadline->expires_after(self->m_options.m_timeout);
      self->m_deadline->async_wait([self](const beast::error_code& aError) {
        if (!aError) {
          self->Fail("timed out", true);
        }
      });
      self->m_reused ? self->WriteAndRead() : self->Connect();
    });
  }

  void Cancel()
  {
    asio::dispatch(m_executor, [self = shared_from_this()] {
      self->End("cancelled", true);
    });
  }

private:
  /* Requests without an identifier differ from all others. */
  std::uint64_t Identity() const
  {
    return m_options.m_echoedHeader.empty()
             ? ++m_client->m_lastUnidentified
             : Hash(std::string_view(m_message[m_options.m_echoedHeader]));
  }

  Duration IdleLimit() const
  {
    return m_options.m_isOnOwnConnection
             ? Duration::zero()
             : m_options.m_idleLimit.value_or(m_client->m_settings.m_idleLimit);
  }

  void Connect()
  {
    beast::error_code error;
    const auto address = asio::ip::make_address(m_endpoint.m_address, error);
    if (error) {
      Fail("not an IP address", false);
      return;
    }
    m_connection->m_stream.expires_after(m_client->m_settings.m_connectTimeout);
    m_connection->m_stream.async_connect(
      tcp::endpoint(address, m_endpoint.m_port),
      beast::bind_front_handler(&Exchange::OnConnected, shared_from_this()));
  }

  void OnConnected(beast::error_code aError)
  {
    if (m_done) {
      return;
    }
    if (aError) {
      m_unreachable = true;
      Fail(aError.message(), false);
      return;
    }
    SetSocketOptions(m_connection->m_stream.socket(),
                     m_client->m_settings.m_unackedLimit);
    WriteAndRead();
  }

  /* Writes and reads concurrently: the server may respond before it has read
     all of a long body. */
  void WriteAndRead()
  {
    if (m_done) {
      return;
    }
    m_sent = true;
    m_writing = true;
    m_connection->m_carried.push_back(m_identity);
    m_connection->m_stream.expires_never();
    http::async_write(m_connection->m_stream,
                      m_message,
                      [self = shared_from_this()](beast::error_code aError,
                                                  std::size_t /*aBytes*/) {
                        self->OnWritten(aError);
                      });
    ReadAnswer();
  }

  /* The kernel reports a reset once, to the write if one is in progress; the
     read then sees an ordinary end. A reset after the server's orderly end is
     reported as a broken pipe. */
  void OnWritten(beast::error_code aError)
  {
    m_writing = false;
    m_written = !aError;
    if (aError && aError != asio::error::broken_pipe) {
      m_connectionEnd = HttpConnectionEnd::Reset;
    }
    if (m_readEnd && !m_done) {
      OnProgress(m_connection->m_reader.ReadEnd(m_connectionEnd));
    }
  }

  /* Returns whether the connection is closed in both directions. If the write
     is still in progress, its error tells how the connection ended. */
  bool IsConnectionGone()
  {
    beast::error_code error;
    m_connection->m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
    return error == asio::error::not_connected;
  }

  void OnEnd()
  {
    if (m_writing && IsConnectionGone()) {
      m_readEnd = true;
      return;
    }
    OnProgress(m_connection->m_reader.ReadEnd(m_connectionEnd));
  }

  void ReadAnswer()
  {
    HttpResponseReader& reader = m_connection->m_reader;
    reader.Begin(m_client->m_settings.m_bodyBytes,
                 m_message.method() == http::verb::head);
    OnProgress(reader.Read());
  }

  /* Bytes for which there is no room stay with the server. */
  void ReadMore()
  {
    HttpResponseReader& reader = m_connection->m_reader;
    const std::uint64_t memory = m_requestMemory + reader.MemoryAfterReceipt();
    const MemoryGrowth growth =
      reader.IsLengthKnown() ? MemoryGrowth::Whole : MemoryGrowth::Stepwise;
    if (!m_memory.TryResize(memory, growth)) {
      m_memory.WaitForRoom(memory, growth, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          asio::post(self->m_executor, [self] { self->OnRoom(); });
        }
      });
      return;
    }
    m_connection->m_stream.async_read_some(
      reader.Prepare(),
      beast::bind_front_handler(&Exchange::OnRead, shared_from_this()));
  }

  void OnRoom()
  {
    if (!m_done) {
      ReadMore();
    }
  }

  void OnRead(beast::error_code aError, std::size_t aBytes)
  {
    if (m_done) {
      return;
    }
    HttpResponseReader& reader = m_connection->m_reader;
    reader.Commit(aBytes);
    if (!aError) {
      OnProgress(reader.Read());
    } else if (aError == asio::error::eof) {
      OnEnd();
    } else {
      FailReading(aError.message());
    }
  }

  void OnProgress(HttpResponseProgress aProgress)
  {
    switch (aProgress) {
      case HttpResponseProgress::Incomplete:
        ReadMore();
        break;
      case HttpResponseProgress::Broken:
        FailReading(m_connection->m_reader.Error());
        break;
      case HttpResponseProgress::Complete:
        OnResponseRead();
        break;
    }
  }

  void FailReading(std::string aText)
  {
    m_brokenAnswer = m_connection->m_reader.IsStarted();
    Fail(std::move(aText), false);
  }

  void OnResponseRead()
  {
    HttpResponseReader& reader = m_connection->m_reader;
    const Attribution attribution = AttributionOf(reader.Response());
    if (attribution == Attribution::OtherRequest) {
      DropResponse();
      return;
    }
    const bool isIdentified = attribution == Attribution::OwnRequest;
    if (!isIdentified && m_connection->m_carried.size() > 1) {
      FailReading("an answer without an identifier on a reused connection");
      return;
    }
    m_done = true;
    m_deadline->cancel();
    const bool reusable =
      reader.KeepsConnection() && !reader.HasUnreadBytes() && m_written &&
      !m_options.m_isOnOwnConnection && isIdentified &&
      m_connection->m_carried.size() < kMaxRequestsPerConnection;
    HttpResponse response = reader.Take();
    response.m_earlier = m_connection->m_carried.size() - 1;
    m_memory.Settle(MemoryOf(response.m_headers) + response.m_body.size());
    response.m_memory =
      std::make_shared<const MemoryReservation>(std::move(m_memory));
    if (reusable) {
      m_client->ReleaseIdle(m_endpoint, std::move(m_connection));
    } else {
      CloseConnection();
    }
    Finish(std::move(response));
  }

  void DropResponse()
  {
    if (m_connection->m_reader.KeepsConnection() &&
        ++m_droppedResponses <= kMaxDroppedResponses) {
      ReadAnswer();
    } else {
      Fail("an answer to another request", false);
    }
  }

  /* Which request a response belongs to. */
  enum class Attribution
  {
    OwnRequest,
    OtherRequest,
    /* It has no identifier: to one of the requests of the connection. */
    AnyRequest
  };

  Attribution AttributionOf(const HttpResponse& aResponse) const
  {
    // The final response follows an informational one.
    if (aResponse.m_status < kFirstFinalStatus) {
      return Attribution::OtherRequest;
    }
    if (m_options.m_echoedHeader.empty()) {
      return Attribution::OwnRequest;
    }
    const auto echoed = std::find_if(
      aResponse.m_headers.begin(),
      aResponse.m_headers.end(),
      [&](const HttpHeader& aHeader) {
        return IsSameHeader(aHeader.m_name, m_options.m_echoedHeader);
      });
    if (echoed != aResponse.m_headers.end()) {
      return echoed->m_value == m_message[m_options.m_echoedHeader]
               ? Attribution::OwnRequest
               : Attribution::OtherRequest;
    }
    return aResponse.m_status >= kFirstRedirectionStatus ||
               m_options.m_isEchoOptional
             ? Attribution::AnyRequest
             : Attribution::OtherRequest;
  }

  void Fail(std::string aText, bool aTimedOut)
  {
    if (!m_done) {
      m_client->CloseIdle(m_endpoint);
      End(std::move(aText), aTimedOut);
    }
  }

  void End(std::string aText, bool aTimedOut)
  {
    if (m_done) {
      return;
    }
    m_done = true;
    m_deadline->cancel();
    m_memory.Settle(0);
    CloseConnection();
    Finish(HttpFailure{
      m_sent, aTimedOut, m_unreachable, m_brokenAnswer, std::move(aText) });
  }

  /* Keeps the connection object, since pending handlers still use it. */
  void CloseConnection() { m_connection->m_stream.close(); }

  void Finish(HttpResult aResult)
  {
    auto callback = std::exchange(m_callback, nullptr);
    callback(std::move(aResult));
  }

  std::shared_ptr<Implementation> m_client;
  Endpoint m_endpoint;
  HttpSendOptions m_options;
  const std::uint64_t m_requestMemory;
  MemoryReservation m_memory;
  Message m_message;
  HttpCallback m_callback;
  const std::uint64_t m_identity;
  ConnectionPointer m_connection;
  asio::any_io_executor m_executor;
  std::optional<asio::steady_timer> m_deadline;
  const bool m_reused;
  bool m_writing = false;
  bool m_written = false;
  /* The read has seen the end of the connection. */
  bool m_readEnd = false;
  /* How the connection ends, as far as the write tells. */
  HttpConnectionEnd m_connectionEnd = HttpConnectionEnd::Orderly;
  bool m_sent = false;
  bool m_unreachable = false;
  bool m_brokenAnswer = false;
  bool m_done = false;
  int m_droppedResponses = 0;
};

/* Prefers the connection that idled for the shortest time. A late copy of the
   response to an earlier sending of the same request could not be told from the
   response that is due, so a connection carries each identifier once. */
ConnectionPointer
HttpClient::Implementation::AcquireIdle(const Endpoint& aEndpoint,
                                        Duration aIdleLimit,
                                        std::uint64_t aIdentity)
{
  const Duration limit = std::min(aIdleLimit, m_settings.m_idleLimit);
  const std::lock_guard lock(m_mutex);
  auto& idleConnections = m_idle[aEndpoint];
  const Instant now = IoThreads::Now();
  for (std::size_t left = idleConnections.size(); left > 0; --left) {
    const auto place =
      idleConnections.begin() + static_cast<std::ptrdiff_t>(left) - 1;
    const Duration idle = now - (*place)->m_idleSince;
    if (idle >= limit && idle < m_settings.m_idleLimit) {
      // The remaining ones idled even longer. Keep them all for requests with a
      // longer idle limit.
      return nullptr;
    }
    if (idle < limit && (*place)->HasCarried(aIdentity)) {
      continue;
    }
    ConnectionPointer connection = std::move(*place);
    idleConnections.erase(place);
    if (idle < limit && !IsStale(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

void
HttpClient::Implementation::ReleaseIdle(const Endpoint& aEndpoint,
                                        ConnectionPointer aConnection)
{
  const std::lock_guard lock(m_mutex);
  auto& idle = m_idle[aEndpoint];
  if (m_closed || idle.size() >= m_settings.m_maxIdlePerEndpoint) {
    return;
  }
  aConnection->m_idleSince = IoThreads::Now();
  idle.push_back(std::move(aConnection));
}

void
HttpClient::Implementation::CloseIdle(const Endpoint& aEndpoint)
{
  const std::lock_guard lock(m_mutex);
  m_idle.erase(aEndpoint);
}

void
HttpClient::Implementation::Close()
{
  const std::lock_guard lock(m_mutex);
  m_closed = true;
  m_idle.clear();
}

//==============================================================================
HttpClient::HttpClient(IoThreads& aThreads, HttpClientSettings aSettings)
  : m_implementation(
      std::make_shared<Implementation>(aThreads, std::move(aSettings)))
{
}

HttpClient::~HttpClient()
{
  m_implementation->Close();
}

HttpExchange
HttpClient::Send(const Endpoint& aEndpoint,
                 HttpRequest aRequest,
                 Duration aTimeout,
                 HttpCallback aCallback)
{
  HttpSendOptions options;
  options.m_timeout = aTimeout;
  return Send(aEndpoint, std::move(aRequest), options, std::move(aCallback));
}

HttpExchange
HttpClient::SendOnNewConnection(const Endpoint& aEndpoint,
                                HttpRequest aRequest,
                                Duration aTimeout,
                                HttpCallback aCallback)
{
  HttpSendOptions options;
  options.m_timeout = aTimeout;
  options.m_idleLimit = Duration::zero();
  return Send(aEndpoint, std::move(aRequest), options, std::move(aCallback));
}

HttpExchange
HttpClient::Send(const Endpoint& aEndpoint,
                 HttpRequest aRequest,
                 const HttpSendOptions& aOptions,
                 HttpCallback aCallback)
{
  auto exchange =
    std::make_shared<Implementation::Exchange>(m_implementation,
                                               aEndpoint,
                                               std::move(aRequest),
                                               aOptions,
                                               std::move(aCallback));
  exchange->Start();
  return HttpExchange(
    [weak = std::weak_ptr<Implementation::Exchange>(exchange)] {
      if (const auto strong = weak.lock()) {
        strong->Cancel();
      }
    });
}

void
HttpClient::CloseIdle(const Endpoint& aEndpoint)
{
  m_implementation->CloseIdle(aEndpoint);
}

HttpResult
HttpClient::SendAndWait(const Endpoint& aEndpoint,
                        HttpRequest aRequest,
                        Duration aTimeout)
{
  auto promise = std::make_shared<std::promise<HttpResult>>();
  auto future = promise->get_future();
  Send(aEndpoint, std::move(aRequest), aTimeout, [promise](HttpResult aResult) {
    promise->set_value(std::move(aResult));
  });
  return future.get();
}

}
