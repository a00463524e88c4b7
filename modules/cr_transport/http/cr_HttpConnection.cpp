#include "cr_transport/http/cr_HttpConnection.h"

#include <algorithm>
#include <array>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/bind_handler.hpp>
#include <boost/beast/http/write.hpp>

#include "cr_transport/io/cr_IoThreads.h"

namespace cr {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

constexpr unsigned kHttpVersion = 11;
/* Max requests of one connection without a response. */
constexpr std::size_t kMaxExchanges = 32;
/* No request begins while more bytes of responses of its connection wait for an
   earlier response. */
constexpr std::uint64_t kMaxWaitingResponseBytes = 256 * 1024;
constexpr std::size_t kDiscardChunkBytes = 4096;
/* Responses of the program's own that are as short are not counted. */
constexpr std::uint64_t kUncountedBytes = 4096;
constexpr std::size_t kDiscardLimitBytes = 16 * 1024 * 1024;
/* Time for the caller to close its end after the last response. */
constexpr Duration kLingerLimit = Seconds(2);

bool
IsWithoutBody(unsigned aStatus)
{
  constexpr unsigned noContent = 204;
  constexpr unsigned notModified = 304;
  return aStatus == noContent || aStatus == notModified;
}

/* A response to HEAD has the Content-Length of the body that it omits. */
http::response<SharedBodyType>
ToMessage(HttpResponse&& aResponse, bool aKeepAlive, bool aToHead)
{
  http::response<SharedBodyType> message;
  message.version(kHttpVersion);
  message.result(aResponse.m_status);
  for (const HttpHeader& header : aResponse.m_headers) {
    message.insert(header.m_name, header.m_value);
  }
  message.keep_alive(aKeepAlive);
  const unsigned status = aResponse.m_status;
  SharedBody body = ShareBody(std::move(aResponse));
  if (aToHead) {
    message.content_length(SharedBodyType::size(body));
  } else if (!IsWithoutBody(status)) {
    message.body() = std::move(body);
    message.prepare_payload();
  }
  return message;
}

}

class HttpConnection::Responder : public HttpResponder::Target
{
public:
  Responder(std::shared_ptr<HttpConnection> aConnection, std::uint64_t aNumber)
    : m_connection(std::move(aConnection))
    , m_number(aNumber)
  {
  }

  void Send(HttpResponse aResponse) override
  {
    Dispatch([number = m_number, response = std::move(aResponse)](
               HttpConnection& aConnection) mutable {
      aConnection.Respond(number, std::move(response));
    });
  }

  void NotifyOnDisconnect(std::function<void()> aOnDisconnect) override
  {
    Dispatch([number = m_number, onDisconnect = std::move(aOnDisconnect)](
               HttpConnection& aConnection) mutable {
      aConnection.NotifyOnDisconnect(number, std::move(onDisconnect));
    });
  }

  void Close() override
  {
    Dispatch([number = m_number](HttpConnection& aConnection) {
      aConnection.Abort(number);
    });
  }

  bool IsCallerConnected() const override
  {
    return m_connection->IsCallerConnected();
  }

private:
  template<typename Function>
  void Dispatch(Function&& aFunction)
  {
    asio::dispatch(m_connection->m_stream.get_executor(),
                   [connection = m_connection,
                    function = std::forward<Function>(aFunction)]() mutable {
                     function(*connection);
                   });
  }

  const std::shared_ptr<HttpConnection> m_connection;
  const std::uint64_t m_number;
};

//==============================================================================
HttpConnection::HttpConnection(tcp::socket&& aSocket,
                               std::shared_ptr<HttpServerShared> aServer,
                               OnClosed aOnClosed)
  : m_stream(std::move(aSocket))
  , m_server(std::move(aServer))
  , m_onClosed(std::move(aOnClosed))
  , m_reader(m_server->m_echoedHeader)
  , m_memory(m_server->m_account)
  , m_readTimer(m_stream.get_executor())
{
}

void
HttpConnection::Start()
{
  beast::error_code ignored;
  m_stream.socket().set_option(tcp::no_delay(true), ignored);
  m_stream.socket().non_blocking(true, ignored);
  const auto remote = m_stream.socket().remote_endpoint(ignored);
  m_remoteAddress = remote.address().to_string();
  asio::dispatch(m_stream.get_executor(),
                 [self = shared_from_this()] { self->Advance(); });
}

void
HttpConnection::RequestClose()
{
  asio::dispatch(m_stream.get_executor(),
                 [self = shared_from_this()] { self->CloseSocket(); });
}

//==============================================================================
/* Hands over the requests that were received, and waits for more bytes. */
void
HttpConnection::Advance()
{
  if (m_isAdvancing || m_isDiscarding || !m_isOpen) {
    return;
  }
  m_isAdvancing = true;
  while (m_isOpen && m_takesRequests && BeginNextRequest()) {
  }
  m_isAdvancing = false;
  if (!m_isOpen) {
    return;
  }
  if (!m_takesRequests) {
    DropUnhandledRequests();
  }
  SetReadDeadline();
  WaitForBytes();
}

/* Returns whether a request was handed over. */
bool
HttpConnection::BeginNextRequest()
{
  if ((!m_waiting && !ReadRequest()) || !MayBegin(*m_waiting)) {
    return false;
  }
  BeginRequest();
  return true;
}

/* Returns whether a whole request was read, which then waits for its turn. */
bool
HttpConnection::ReadRequest()
{
  if (!m_reader.IsReading()) {
    m_limits = m_server->Limits();
    if (!HasRoom()) {
      return false;
    }
  }
  const std::uint64_t others = m_server->m_heldBytes - m_readerBytes;
  const HttpReadProgress progress = m_reader.Read(
    m_limits,
    m_limits.m_heldBodyBytes - std::min(others, m_limits.m_heldBodyBytes));
  SetReaderBytes(m_reader.BodyBytes());
  if (progress == HttpReadProgress::Refused) {
    Refuse(m_reader.Refusal());
  }
  if (progress != HttpReadProgress::Complete) {
    return false;
  }
  HttpRequestReader::ReadRequest read = m_reader.Take();
  SettleMemory();
  read.m_request.m_memory = Reserve(MemoryOf(read.m_request));
  const bool mayOverlap =
    m_server->m_mayOverlap && m_server->m_mayOverlap(read.m_request);
  m_waiting = WaitingRequest{ std::move(read), mayOverlap, IoThreads::Now() };
  return true;
}

/* Later bytes belong to the refused request, so the connection closes after the
   response. */
void
HttpConnection::Refuse(HttpResponse aResponse)
{
  if (aResponse.m_status == kHttpUnavailable) {
    aResponse.m_headers.insert(aResponse.m_headers.end(),
                               m_server->m_refusalHeaders.begin(),
                               m_server->m_refusalHeaders.end());
  }
  Exchange& exchange = m_exchanges.emplace_back();
  exchange.m_number = ++m_lastNumber;
  exchange.m_response = std::move(aResponse);
  ++m_server->m_inProgress;
  m_takesRequests = false;
  WriteNextResponse();
}

/* Returns whether another request may be read while earlier ones wait for their
   responses. */
bool
HttpConnection::HasRoom() const
{
  return m_exchanges.empty() ||
         (m_exchanges.size() < kMaxExchanges &&
          WaitingResponseBytes() <= kMaxWaitingResponseBytes &&
          m_server->m_heldBytes < m_limits.m_heldBodyBytes);
}

bool
HttpConnection::MayBegin(const WaitingRequest& aRequest) const
{
  return m_exchanges.empty() ||
         (aRequest.m_mayOverlap && std::all_of(m_exchanges.begin(),
                                               m_exchanges.end(),
                                               [](const auto& aExchange) {
                                                 return aExchange.m_mayOverlap;
                                               }));
}

void
HttpConnection::BeginRequest()
{
  WaitingRequest waiting = std::move(*m_waiting);
  m_waiting.reset();
  m_phase = ReadPhase::None;
  if (!waiting.m_read.m_keepAlive) {
    m_takesRequests = false;
    m_isClosedByCaller = true;
  }
  HttpRequest& request = waiting.m_read.m_request;
  request.m_remoteAddress = m_remoteAddress;
  request.m_waited = IoThreads::Now() - waiting.m_readAt;
  SetReaderBytes(0);
  Exchange& exchange = m_exchanges.emplace_back();
  exchange.m_number = ++m_lastNumber;
  exchange.m_isHead = waiting.m_read.m_isHead;
  exchange.m_mayOverlap = waiting.m_mayOverlap;
  SetHeldBytes(exchange, request.m_body.size());
  ++m_server->m_inProgress;
  m_server->m_handler(std::move(request),
                      HttpResponder(std::make_shared<Responder>(
                        shared_from_this(), m_lastNumber)));
}

/* What was received and not handed over counts as not read. */
void
HttpConnection::DropUnhandledRequests()
{
  m_waiting.reset();
  m_reader.Discard();
  SetReaderBytes(0);
  SettleMemory();
}

/* Gives up a place in the queue for room: another wait for bytes follows. */
void
HttpConnection::SettleMemory()
{
  m_isAwaitingRoom = false;
  m_memory.Settle(m_reader.Memory());
}

MessageMemory
HttpConnection::Reserve(std::uint64_t aBytes) const
{
  MemoryReservation memory(m_server->m_account);
  memory.Resize(aBytes);
  return std::make_shared<const MemoryReservation>(std::move(memory));
}

//==============================================================================
/* Also notices that the caller leaves, while requests are in progress. */
void
HttpConnection::WaitForBytes()
{
  if (m_isAwaitingBytes || m_isAwaitingRoom || m_isDiscarding || !m_isOpen ||
      m_reader.BytesAllowed() == 0) {
    return;
  }
  m_isAwaitingBytes = true;
  m_stream.socket().async_wait(
    tcp::socket::wait_read,
    beast::bind_front_handler(&HttpConnection::OnReadable, shared_from_this()));
}

/* A wait may complete although nothing can be read, because bytes that were
   read before the wait started can trigger it. */
void
HttpConnection::OnReadable(beast::error_code aError)
{
  m_isAwaitingBytes = false;
  if (m_isDiscarding || !m_isOpen || m_reader.BytesAllowed() == 0) {
    return;
  }
  if (!aError && !ReserveForReceipt()) {
    return;
  }
  beast::error_code error = aError;
  if (!error) {
    m_reader.Commit(m_stream.socket().read_some(m_reader.Prepare(), error));
  }
  if (error == asio::error::would_block) {
    WaitForBytes();
    return;
  }
  if (error) {
    DropExchanges();
    return;
  }
  Advance();
}

/* Returns whether there is room to read on. Otherwise, a request whose header
   was read is refused, and the bytes of any other one stay with the caller
   until there is room. */
bool
HttpConnection::ReserveForReceipt()
{
  const std::uint64_t memory = m_reader.MemoryAfterReceipt();
  if (m_memory.TryResize(memory)) {
    return true;
  }
  if (m_reader.IsHeaderRead()) {
    m_reader.RefuseForLackOfRoom();
    Refuse(m_reader.Refusal());
    Advance();
    return false;
  }
  m_isAwaitingRoom = true;
  m_memory.WaitForRoom(memory, MemoryGrowth::Whole, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      asio::post(self->m_stream.get_executor(), [self] { self->OnRoom(); });
    }
  });
  return false;
}

void
HttpConnection::OnRoom()
{
  m_isAwaitingRoom = false;
  WaitForBytes();
}

void
HttpConnection::SetReadDeadline()
{
  ReadPhase phase = ReadPhase::None;
  if (m_takesRequests && !m_waiting) {
    phase = m_reader.IsHeaderRead() ? ReadPhase::Body
            : m_reader.IsReading()  ? ReadPhase::Header
            : m_exchanges.empty()   ? ReadPhase::Idle
                                    : ReadPhase::None;
  }
  if (phase == m_phase) {
    return;
  }
  m_phase = phase;
  const Instant now = IoThreads::Now();
  m_readDeadline = phase == ReadPhase::Body     ? now + m_limits.m_transfer
                   : phase == ReadPhase::Header ? now + m_limits.m_header
                   : phase == ReadPhase::Idle   ? now + m_limits.m_idle
                                                : Instant::max();
  ArmReadTimer();
}

/* A timer that is due earlier is left alone: it arms itself for the rest, so
   that requests which follow each other need no timer each. */
void
HttpConnection::ArmReadTimer()
{
  if (m_readDeadline >= m_timerDue) {
    return;
  }
  m_timerDue = m_readDeadline;
  m_readTimer.expires_after(
    std::max(m_readDeadline - IoThreads::Now(), Duration::zero()));
  m_readTimer.async_wait(
    [weak = weak_from_this()](const beast::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        self->OnReadTimer();
      }
    });
}

void
HttpConnection::OnReadTimer()
{
  m_timerDue = Instant::max();
  if (!m_isOpen) {
    return;
  }
  if (IoThreads::Now() < m_readDeadline) {
    ArmReadTimer();
    return;
  }
  if (m_exchanges.empty()) {
    CloseSocket();
    return;
  }
  // The rest of a request is late; earlier requests get their responses first.
  m_takesRequests = false;
  Advance();
}

bool
HttpConnection::IsCallerConnected()
{
  char byte = 0;
  beast::error_code error;
  m_stream.socket().receive(
    asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return !error || error == asio::error::would_block;
}

//==============================================================================
std::deque<HttpConnection::Exchange>::iterator
HttpConnection::FindExchange(std::uint64_t aNumber)
{
  return std::find_if(
    m_exchanges.begin(), m_exchanges.end(), [&](const auto& aExchange) {
      return aExchange.m_number == aNumber;
    });
}

void
HttpConnection::Respond(std::uint64_t aNumber, HttpResponse&& aResponse)
{
  const auto exchange = FindExchange(aNumber);
  if (exchange == m_exchanges.end() || exchange->m_response ||
      exchange->m_isAborted) {
    return;
  }
  if (!m_isOpen) {
    RemoveExchange(exchange);
    return;
  }
  exchange->m_onDisconnect = nullptr;
  if (aResponse.m_close) {
    m_takesRequests = false;
  }
  const std::uint64_t bytes = aResponse.m_sharedBody
                                ? aResponse.m_sharedBody->size()
                                : aResponse.m_body.size();
  SetHeldBytes(*exchange, bytes);
  exchange->m_memory = aResponse.m_memory || bytes <= kUncountedBytes
                         ? std::move(aResponse.m_memory)
                         : Reserve(bytes);
  exchange->m_response = std::move(aResponse);
  WriteNextResponse();
}

void
HttpConnection::Abort(std::uint64_t aNumber)
{
  const auto exchange = FindExchange(aNumber);
  if (exchange == m_exchanges.end() || exchange->m_response) {
    return;
  }
  exchange->m_onDisconnect = nullptr;
  exchange->m_isAborted = true;
  m_takesRequests = false;
  WriteNextResponse();
}

void
HttpConnection::NotifyOnDisconnect(std::uint64_t aNumber,
                                   std::function<void()>&& aOnDisconnect)
{
  const auto exchange = FindExchange(aNumber);
  if (exchange != m_exchanges.end() && !exchange->m_response &&
      !exchange->m_isAborted) {
    exchange->m_onDisconnect = std::move(aOnDisconnect);
  }
}

/* The last response tells that the connection closes, not one that others
   follow. */
void
HttpConnection::WriteNextResponse()
{
  if (m_isWriting || !m_isOpen || m_exchanges.empty()) {
    return;
  }
  Exchange& exchange = m_exchanges.front();
  if (exchange.m_isAborted) {
    DropExchanges();
    return;
  }
  if (!exchange.m_response) {
    return;
  }
  m_takesRequests = m_takesRequests && !m_server->IsClosing();
  const bool keepAlive = m_takesRequests || m_exchanges.size() > 1;
  SetHeldBytes(exchange, 0);
  m_isWriting = true;
  m_message.emplace(
    ToMessage(std::move(*exchange.m_response), keepAlive, exchange.m_isHead));
  m_stream.expires_after(m_limits.m_transfer);
  http::async_write(m_stream,
                    *m_message,
                    [self = shared_from_this(), keepAlive](
                      beast::error_code aError, std::size_t /*aBytes*/) {
                      self->OnResponseWritten(aError, keepAlive);
                    });
}

void
HttpConnection::OnResponseWritten(beast::error_code aError, bool aKeepAlive)
{
  m_isWriting = false;
  m_message.reset();
  if (!m_isOpen) {
    return;
  }
  RemoveExchange(m_exchanges.begin());
  if (aError) {
    DropExchanges();
    return;
  }
  if (!aKeepAlive || (m_exchanges.empty() && !m_takesRequests)) {
    DiscardRemainder();
    return;
  }
  WriteNextResponse();
  Advance();
}

void
HttpConnection::RemoveExchange(const std::deque<Exchange>::iterator& aExchange)
{
  SetHeldBytes(*aExchange, 0);
  --m_server->m_inProgress;
  m_exchanges.erase(aExchange);
}

void
HttpConnection::SetHeldBytes(Exchange& aExchange, std::uint64_t aBytes)
{
  m_server->m_heldBytes += aBytes;
  m_server->m_heldBytes -= std::exchange(aExchange.m_heldBytes, aBytes);
}

void
HttpConnection::SetReaderBytes(std::uint64_t aBytes)
{
  m_server->m_heldBytes += aBytes;
  m_server->m_heldBytes -= std::exchange(m_readerBytes, aBytes);
}

std::uint64_t
HttpConnection::WaitingResponseBytes() const
{
  std::uint64_t bytes = 0;
  for (const Exchange& exchange : m_exchanges) {
    bytes += exchange.m_response ? exchange.m_heldBytes : 0;
  }
  return bytes;
}

//==============================================================================
/* The caller may still be sending; closing now would reset the connection
   before the caller reads the last response. */
void
HttpConnection::DiscardRemainder()
{
  if (m_isClosedByCaller && m_reader.BufferedBytes() == 0) {
    CloseSocket();
    return;
  }
  DropUnhandledRequests();
  m_isDiscarding = true;
  m_readDeadline = IoThreads::Now() + kLingerLimit;
  ArmReadTimer();
  beast::error_code ignored;
  m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  ReadAndDiscard(0);
}

void
HttpConnection::ReadAndDiscard(std::size_t aDiscarded)
{
  m_stream.socket().async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this(), aDiscarded](beast::error_code aError) {
      self->OnDiscardable(aError, aDiscarded);
    });
}

void
HttpConnection::OnDiscardable(beast::error_code aError, std::size_t aDiscarded)
{
  std::array<char, kDiscardChunkBytes> bytes{};
  beast::error_code error = aError;
  std::size_t discarded = aDiscarded;
  if (!error) {
    discarded += m_stream.socket().read_some(asio::buffer(bytes), error);
  }
  const bool isEnded = error && error != asio::error::would_block;
  if (!m_isOpen || isEnded || discarded > kDiscardLimitBytes) {
    CloseSocket();
    return;
  }
  ReadAndDiscard(discarded);
}

/* The caller no longer reads responses. */
void
HttpConnection::DropExchanges()
{
  std::deque<Exchange> exchanges;
  exchanges.swap(m_exchanges);
  CloseSocket();
  for (Exchange& exchange : exchanges) {
    SetHeldBytes(exchange, 0);
    --m_server->m_inProgress;
  }
  for (const Exchange& exchange : exchanges) {
    if (exchange.m_onDisconnect) {
      exchange.m_onDisconnect();
    }
  }
}

/* Requests without a response stay until their handler responds, so that they
   count as in progress. */
void
HttpConnection::CloseSocket()
{
  if (!m_isOpen) {
    return;
  }
  m_isOpen = false;
  m_takesRequests = false;
  m_readTimer.cancel();
  DropUnhandledRequests();
  for (std::size_t left = m_exchanges.size(); left > 0; --left) {
    const auto exchange =
      m_exchanges.begin() + static_cast<std::ptrdiff_t>(left) - 1;
    if (exchange->m_response || exchange->m_isAborted) {
      RemoveExchange(exchange);
    }
  }
  beast::error_code ignored;
  m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  m_stream.close();
  m_onClosed(shared_from_this());
}

}
