#include "cr_transport/http/cr_HttpServer.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <unordered_set>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "cr_transport/io/cr_ConnectionExecutor.h"

namespace cr {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

constexpr unsigned kHttpVersion = 11;
/* Keeps a flood of new connections from delaying the open ones. */
constexpr int kMaxAcceptedTogether = 32;
/* Max bytes received ahead of the parser, besides a header. Bounds what belongs
   to neither header nor body, such as chunk extensions and trailers. */
constexpr std::size_t kMaxBufferBytes = 128 * 1024;
constexpr std::size_t kMaxReadAheadBytes = 16 * 1024;
constexpr std::size_t kDiscardChunkBytes = 65536;
constexpr std::size_t kDiscardLimitBytes = 16 * 1024 * 1024;

HttpRequest
ToRequest(http::request<http::string_body>&& aMessage)
{
  HttpRequest request;
  request.m_method = std::string(aMessage.method_string());
  request.m_target = std::string(aMessage.target());
  for (const auto& field : aMessage) {
    request.m_headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  request.m_body = std::move(aMessage.body());
  return request;
}

bool
IsWithoutBody(unsigned aStatus)
{
  constexpr unsigned noContent = 204;
  constexpr unsigned notModified = 304;
  return aStatus == noContent || aStatus == notModified;
}

/* A response to HEAD has the Content-Length of the body that it omits. */
http::response<http::string_body>
ToMessage(HttpResponse&& aResponse, bool aKeepAlive, bool aToHead)
{
  http::response<http::string_body> message;
  message.version(kHttpVersion);
  message.result(aResponse.m_status);
  for (const HttpHeader& header : aResponse.m_headers) {
    message.insert(header.m_name, header.m_value);
  }
  message.keep_alive(aKeepAlive);
  if (aToHead) {
    message.content_length(aResponse.m_body.size());
  } else if (!IsWithoutBody(aResponse.m_status)) {
    message.body() = std::move(aResponse.m_body);
    message.prepare_payload();
  }
  return message;
}

unsigned
StatusOf(const beast::error_code& aError)
{
  constexpr unsigned payloadTooLarge = 413;
  constexpr unsigned headersTooLarge = 431;
  if (aError == http::error::body_limit) {
    return payloadTooLarge;
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return headersTooLarge;
  }
  return kHttpBadRequest;
}

bool
IsParseError(const beast::error_code& aError)
{
  static const auto& category =
    make_error_code(http::error::bad_method).category();
  return aError.category() == category &&
         aError != http::error::end_of_stream &&
         aError != http::error::partial_message;
}

}

class HttpServer::Implementation
  : public std::enable_shared_from_this<HttpServer::Implementation>
{
public:
  class Session;

  Implementation(IoThreads& aThreads, HttpLimits aLimits, HttpHandler aHandler)
    : m_limits(aLimits)
    , m_handler(std::move(aHandler))
    , m_threads(aThreads)
    , m_acceptor(MakeConnectionExecutor(aThreads))
  {
  }

  Expected<Endpoint> Listen(const Endpoint& aEndpoint);
  void Accept();
  void AcceptWaiting();
  void StopAccepting();
  void Close();
  void Add(const std::shared_ptr<Session>& aSession);
  void Remove(const std::shared_ptr<Session>& aSession);

  HttpLimits Limits() const
  {
    const std::lock_guard lock(m_mutex);
    return m_limits;
  }

  HttpLimits m_limits;
  const HttpHandler m_handler;
  IoThreads& m_threads;
  tcp::acceptor m_acceptor;
  std::atomic<std::size_t> m_inProgress{ 0 };
  std::atomic<std::uint64_t> m_heldBytes{ 0 };
  std::atomic<bool> m_stopping{ false };
  std::atomic<bool> m_closesAfterResponses{ false };
  mutable std::mutex m_mutex;
  std::unordered_set<std::shared_ptr<Session>> m_sessions;
};

class HttpServer::Implementation::Session
  : public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket&& aSocket, std::shared_ptr<Implementation> aServer)
    : m_stream(std::move(aSocket))
    , m_server(std::move(aServer))
  {
  }

  void Start()
  {
    beast::error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
    m_stream.socket().non_blocking(true, ignored);
    const auto remote = m_stream.socket().remote_endpoint(ignored);
    m_remoteAddress = remote.address().to_string();
    asio::dispatch(m_stream.get_executor(),
                   [self = shared_from_this()] { self->ReadFirstByte(); });
  }

  void RequestClose()
  {
    asio::dispatch(m_stream.get_executor(),
                   [self = shared_from_this()] { self->CloseSocket(); });
  }

  void Answer(std::uint64_t aSequence, HttpResponse aResponse)
  {
    asio::dispatch(m_stream.get_executor(),
                   [self = shared_from_this(),
                    aSequence,
                    response = std::move(aResponse)]() mutable {
                     self->WriteAnswer(aSequence, std::move(response));
                   });
  }

  void SetDisconnectCallback(std::uint64_t aSequence,
                             std::function<void()> aOnDisconnect)
  {
    asio::dispatch(m_stream.get_executor(),
                   [self = shared_from_this(),
                    aSequence,
                    onDisconnect = std::move(aOnDisconnect)]() mutable {
                     if (aSequence == self->m_sequence &&
                         self->m_awaitsResponse) {
                       self->m_onDisconnect = std::move(onDisconnect);
                       self->WaitForDisconnect(aSequence);
                     }
                   });
  }

  void CloseUnanswered(std::uint64_t aSequence)
  {
    asio::dispatch(
      m_stream.get_executor(), [self = shared_from_this(), aSequence] {
        if (aSequence == self->m_sequence && self->m_awaitsResponse) {
          self->m_onDisconnect = nullptr;
          self->m_awaitsResponse = false;
          self->CloseSocket();
        }
      });
  }

  bool IsCallerConnected()
  {
    char byte = 0;
    beast::error_code error;
    m_stream.socket().receive(
      asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return !error || error == asio::error::would_block;
  }

private:
  class Request;

  void ReadFirstByte()
  {
    if (m_buffer.size() != 0) {
      ReadRequest();
      return;
    }
    m_limits = m_server->Limits();
    m_stream.expires_after(m_limits.m_idle);
    m_stream.socket().async_wait(
      tcp::socket::wait_read,
      beast::bind_front_handler(&Session::FirstByteReady, shared_from_this()));
    ArmIdleTimer();
  }

  /* The stream's expiry does not apply to socket::async_wait, so a separate
     timer enforces the idle limit. */
  void ArmIdleTimer()
  {
    m_idleTimer.emplace(m_stream.get_executor());
    m_idleTimer->expires_after(m_limits.m_idle);
    m_idleTimer->async_wait(
      [weak = weak_from_this()](const beast::error_code& aError) {
        const auto self = weak.lock();
        if (!aError && self) {
          self->CloseSocket();
        }
      });
  }

  void FirstByteReady(beast::error_code aError)
  {
    m_idleTimer.reset();
    if (aError) {
      CloseSocket();
      return;
    }
    ReadRequest();
  }

  void ReadRequest()
  {
    m_limits = m_server->Limits();
    m_parser.emplace();
    m_parser->header_limit(m_limits.m_headerBytes);
    m_parser->body_limit(m_limits.m_bodyBytes);
    m_buffer.max_size(m_limits.m_headerBytes + kMaxBufferBytes);
    m_stream.expires_after(m_limits.m_header);
    http::async_read_header(
      m_stream,
      m_buffer,
      *m_parser,
      beast::bind_front_handler(&Session::HeaderRead, shared_from_this()));
  }

  void HeaderRead(beast::error_code aError, std::size_t aBytes)
  {
    if (aError || m_parser->is_done()) {
      RequestRead(aError, aBytes);
      return;
    }
    const std::uint64_t held = m_server->m_heldBytes;
    const std::uint64_t available =
      m_limits.m_heldBodyBytes - std::min(held, m_limits.m_heldBodyBytes);
    const std::uint64_t length = m_parser->content_length().value_or(0);
    if (length > available || available == 0) {
      Reject(kHttpUnavailable, "no room for the body");
      return;
    }
    m_parser->body_limit(std::min(m_limits.m_bodyBytes, available));
    SetHeldBytes(length);
    m_stream.expires_after(m_limits.m_transfer);
    http::async_read(
      m_stream,
      m_buffer,
      *m_parser,
      beast::bind_front_handler(&Session::RequestRead, shared_from_this()));
  }

  /* Sets this connection's share of the server-wide bytes of bodies in
     memory. */
  void SetHeldBytes(std::uint64_t aBytes)
  {
    m_server->m_heldBytes += aBytes;
    m_server->m_heldBytes -= std::exchange(m_heldBytes, aBytes);
  }

  void BeginRequest();
  void Reject(unsigned aStatus, std::string aText);

  void RequestRead(beast::error_code aError, std::size_t /*aBytes*/);

  void WaitForDisconnect(std::uint64_t aSequence)
  {
    m_stream.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(), aSequence](const beast::error_code& aError) {
        self->CheckForDisconnect(aSequence, aError);
      });
  }

  /* A wait may complete although nothing can be read, because bytes that were
     read before the wait started can trigger it. */
  void CheckForDisconnect(std::uint64_t aSequence,
                          const beast::error_code& aError)
  {
    if (aSequence != m_sequence || !m_awaitsResponse) {
      return;
    }
    beast::error_code readError = aError;
    if (!aError) {
      ReadAhead(readError);
    }
    if (readError == asio::error::no_buffer_space) {
      return;
    }
    if (!readError || readError == asio::error::would_block) {
      WaitForDisconnect(aSequence);
      return;
    }
    if (auto onDisconnect = std::exchange(m_onDisconnect, nullptr)) {
      onDisconnect();
    }
    // The caller no longer reads a response.
    m_awaitsResponse = false;
    CloseSocket();
  }

  /* Reads bytes of the next request, as they would hide the end of the
     connection behind them. Fails with no_buffer_space if the buffer is full.
   */
  void ReadAhead(beast::error_code& aError)
  {
    if (m_buffer.size() >= kMaxReadAheadBytes) {
      aError = asio::error::no_buffer_space;
      return;
    }
    m_buffer.commit(m_stream.socket().read_some(
      m_buffer.prepare(kMaxReadAheadBytes - m_buffer.size()), aError));
  }

  void WriteAnswer(std::uint64_t aSequence, HttpResponse&& aResponse)
  {
    if (aSequence != m_sequence || !m_awaitsResponse) {
      return;
    }
    m_awaitsResponse = false;
    m_onDisconnect = nullptr;
    if (m_stream.socket().is_open()) {
      beast::error_code ignored;
      m_stream.socket().cancel(ignored);
    }
    m_keepAlive = m_keepAlive && !aResponse.m_close && !m_server->m_stopping &&
                  !m_server->m_closesAfterResponses;
    m_answer.emplace(ToMessage(std::move(aResponse), m_keepAlive, m_isHead));
    m_stream.expires_after(m_limits.m_transfer);
    http::async_write(
      m_stream,
      *m_answer,
      beast::bind_front_handler(&Session::AnswerWritten, shared_from_this()));
  }

  void AnswerWritten(beast::error_code aError, std::size_t /*aBytes*/)
  {
    m_answer.reset();
    SetHeldBytes(0);
    if (m_counted) {
      m_counted = false;
      --m_server->m_inProgress;
    }
    if (aError) {
      CloseSocket();
      return;
    }
    if (m_rejected) {
      DiscardRemainder();
      return;
    }
    if (!m_keepAlive) {
      CloseSocket();
      return;
    }
    ReadFirstByte();
  }

  /* The caller may still be sending the rejected request; closing now would
     reset the connection before the caller reads the response. */
  void DiscardRemainder()
  {
    beast::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_stream.expires_after(m_limits.m_transfer);
    ReadAndDiscard(0);
  }

  void ReadAndDiscard(std::size_t aDiscarded)
  {
    m_buffer.clear();
    m_stream.async_read_some(m_buffer.prepare(kDiscardChunkBytes),
                             [self = shared_from_this(), aDiscarded](
                               beast::error_code aError, std::size_t aBytes) {
                               const std::size_t discarded =
                                 aDiscarded + aBytes;
                               if (aError || discarded > kDiscardLimitBytes) {
                                 self->CloseSocket();
                                 return;
                               }
                               self->ReadAndDiscard(discarded);
                             });
  }

  void CloseSocket()
  {
    m_idleTimer.reset();
    beast::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    m_stream.close();
    SetHeldBytes(0);
    if (m_counted && !m_awaitsResponse) {
      m_counted = false;
      --m_server->m_inProgress;
    }
    m_server->Remove(shared_from_this());
  }

  beast::tcp_stream m_stream;
  std::shared_ptr<Implementation> m_server;
  beast::flat_buffer m_buffer;
  std::optional<asio::steady_timer> m_idleTimer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::optional<http::response<http::string_body>> m_answer;
  std::function<void()> m_onDisconnect;
  HttpLimits m_limits;
  std::string m_remoteAddress;
  std::uint64_t m_heldBytes = 0;
  std::uint64_t m_sequence = 0;
  bool m_awaitsResponse = false;
  bool m_counted = false;
  bool m_keepAlive = false;
  bool m_isHead = false;
  bool m_rejected = false;
};

class HttpServer::Implementation::Session::Request
  : public HttpResponder::Target
{
public:
  Request(std::shared_ptr<Session> aSession, std::uint64_t aSequence)
    : m_session(std::move(aSession))
    , m_sequence(aSequence)
  {
  }

  void Send(HttpResponse aResponse) override
  {
    m_session->Answer(m_sequence, std::move(aResponse));
  }

  void NotifyOnDisconnect(std::function<void()> aOnDisconnect) override
  {
    m_session->SetDisconnectCallback(m_sequence, std::move(aOnDisconnect));
  }

  void Close() override { m_session->CloseUnanswered(m_sequence); }

  bool IsCallerConnected() const override
  {
    return m_session->IsCallerConnected();
  }

private:
  std::shared_ptr<Session> m_session;
  std::uint64_t m_sequence;
};

void
HttpServer::Implementation::Session::RequestRead(beast::error_code aError,
                                                 std::size_t /*aBytes*/)
{
  if (aError && !IsParseError(aError)) {
    CloseSocket();
    return;
  }
  if (aError) {
    Reject(StatusOf(aError), "malformed request: " + aError.message());
    return;
  }
  BeginRequest();
  m_keepAlive = m_parser->get().keep_alive();
  m_isHead = m_parser->get().method() == http::verb::head;
  HttpRequest request = ToRequest(m_parser->release());
  request.m_remoteAddress = m_remoteAddress;
  m_parser.reset();
  SetHeldBytes(request.m_body.size());
  m_stream.expires_never();
  m_server->m_handler(
    std::move(request),
    HttpResponder(std::make_shared<Request>(shared_from_this(), m_sequence)));
}

void
HttpServer::Implementation::Session::BeginRequest()
{
  ++m_sequence;
  m_awaitsResponse = true;
  m_counted = true;
  ++m_server->m_inProgress;
}

/* Closes the connection after the response, since later bytes on it belong to
   the rejected request. */
void
HttpServer::Implementation::Session::Reject(unsigned aStatus, std::string aText)
{
  BeginRequest();
  m_keepAlive = false;
  m_rejected = true;
  WriteAnswer(m_sequence, MakeTextResponse(aStatus, std::move(aText) + "\n"));
}

Expected<Endpoint>
HttpServer::Implementation::Listen(const Endpoint& aEndpoint)
{
  beast::error_code error;
  const auto address = asio::ip::make_address(aEndpoint.m_address, error);
  if (error) {
    return Failure(ErrorCode::Malformed, "not an IP address");
  }
  const tcp::endpoint endpoint(address, aEndpoint.m_port);
  m_acceptor.open(endpoint.protocol(), error);
  if (!error) {
    m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    m_acceptor.bind(endpoint, error);
  }
  if (!error) {
    m_acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (!error) {
    m_acceptor.non_blocking(true, error);
  }
  if (error) {
    return Failure(ErrorCode::Unavailable,
                   "cannot listen on " + ToText(aEndpoint) + ": " +
                     error.message());
  }
  const std::uint16_t port = m_acceptor.local_endpoint().port();
  asio::dispatch(m_acceptor.get_executor(),
                 [self = shared_from_this()] { self->Accept(); });
  return Endpoint{ aEndpoint.m_address, port };
}

void
HttpServer::Implementation::Accept()
{
  m_acceptor.async_accept(
    MakeConnectionExecutor(m_threads),
    [self = shared_from_this()](beast::error_code aError, tcp::socket aSocket) {
      if (self->m_stopping || aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        self->Add(std::make_shared<Session>(std::move(aSocket), self));
        self->AcceptWaiting();
      }
      self->Accept();
    });
}

/* An asynchronous accept takes one connection per round of the event loop, and
   a round takes long when many connections are active. */
void
HttpServer::Implementation::AcceptWaiting()
{
  for (int count = 1; count < kMaxAcceptedTogether; ++count) {
    beast::error_code error;
    tcp::socket socket(MakeConnectionExecutor(m_threads));
    m_acceptor.accept(socket, error);
    if (error) {
      // An error other than would_block recurs in the next asynchronous accept.
      return;
    }
    Add(std::make_shared<Session>(std::move(socket), shared_from_this()));
  }
}

void
HttpServer::Implementation::Add(const std::shared_ptr<Session>& aSession)
{
  {
    const std::lock_guard lock(m_mutex);
    if (m_sessions.size() >= m_limits.m_connections) {
      return;
    }
    m_sessions.insert(aSession);
  }
  aSession->Start();
}

void
HttpServer::Implementation::Remove(const std::shared_ptr<Session>& aSession)
{
  const std::lock_guard lock(m_mutex);
  m_sessions.erase(aSession);
}

void
HttpServer::Implementation::StopAccepting()
{
  m_stopping = true;
  asio::dispatch(m_acceptor.get_executor(), [self = shared_from_this()] {
    beast::error_code ignored;
    self->m_acceptor.close(ignored);
  });
}

void
HttpServer::Implementation::Close()
{
  StopAccepting();
  std::unordered_set<std::shared_ptr<Session>> sessions;
  {
    const std::lock_guard lock(m_mutex);
    sessions.swap(m_sessions);
  }
  for (const auto& session : sessions) {
    session->RequestClose();
  }
}

//==============================================================================
HttpServer::HttpServer(IoThreads& aThreads,
                       HttpLimits aLimits,
                       HttpHandler aHandler)
  : m_implementation(
      std::make_shared<Implementation>(aThreads, aLimits, std::move(aHandler)))
{
}

HttpServer::~HttpServer()
{
  Close();
}

Expected<Endpoint>
HttpServer::Listen(const Endpoint& aEndpoint)
{
  return m_implementation->Listen(aEndpoint);
}

void
HttpServer::StopAccepting()
{
  m_implementation->StopAccepting();
}

void
HttpServer::Close()
{
  m_implementation->Close();
}

void
HttpServer::SetLimits(const HttpLimits& aLimits)
{
  const std::lock_guard lock(m_implementation->m_mutex);
  m_implementation->m_limits = aLimits;
}

void
HttpServer::CloseAfterResponses()
{
  m_implementation->m_closesAfterResponses = true;
}

std::size_t
HttpServer::RequestsInProgress() const
{
  return m_implementation->m_inProgress;
}

}
