#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>

#include "cr_transport/http/cr_HttpBody.h"
#include "cr_transport/http/cr_HttpRequestReader.h"
#include "cr_transport/http/cr_HttpServerShared.h"

namespace cr {

/** One connection of an HTTP server. Requests that may overlap run side by
   side; any other begins when all earlier ones are answered. Responses are
   written in the order of the requests (RFC 9112, section 9.3.2).

    A response that closes the connection is always that of the last request
    that was handed to the handler: what was received behind it is discarded
    and never handed over. The public methods are thread safe. */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  /** Called once when the connection is closed. */
  using OnClosed = std::function<void(const std::shared_ptr<HttpConnection>&)>;

  /** Creates a connection on the socket; Start() begins to read. */
  HttpConnection(boost::asio::ip::tcp::socket&& aSocket,
                 std::shared_ptr<HttpServerShared> aServer,
                 OnClosed aOnClosed);

  /** Begins to read requests. */
  void Start();

  /** Closes the connection; requests in progress get no response. */
  void RequestClose();

private:
  class Responder;

  /* A request that was handed to the handler and whose response is not yet
     written. */
  struct Exchange
  {
    std::uint64_t m_number = 0;
    bool m_isHead = false;
    bool m_mayOverlap = false;
    /* The connection closes without a response to this request. */
    bool m_isAborted = false;
    std::optional<HttpResponse> m_response;
    std::function<void()> m_onDisconnect;
    std::uint64_t m_heldBytes = 0;
    /* Of the response. */
    MessageMemory m_memory;
  };

  struct WaitingRequest
  {
    HttpRequestReader::ReadRequest m_read;
    bool m_mayOverlap = false;
    Instant m_readAt;
  };

  enum class ReadPhase
  {
    /* No bytes are due. */
    None,
    /* Between requests. */
    Idle,
    Header,
    Body
  };

  /* Reading. */
  void Advance();
  bool BeginNextRequest();
  bool ReadRequest();
  void Refuse(HttpResponse aResponse);
  bool HasRoom() const;
  bool MayBegin(const WaitingRequest& aRequest) const;
  void BeginRequest();
  void DropUnhandledRequests();
  void WaitForBytes();
  bool ReserveForReceipt();
  void OnRoom();
  void SettleMemory();
  MessageMemory Reserve(std::uint64_t aBytes) const;
  void OnReadable(boost::beast::error_code aError);
  void SetReadDeadline();
  void ArmReadTimer();
  void OnReadTimer();
  bool IsCallerConnected();

  /* Responding. */
  std::deque<Exchange>::iterator FindExchange(std::uint64_t aNumber);
  void Respond(std::uint64_t aNumber, HttpResponse&& aResponse);
  void Abort(std::uint64_t aNumber);
  void NotifyOnDisconnect(std::uint64_t aNumber,
                          std::function<void()>&& aOnDisconnect);
  void WriteNextResponse();
  void OnResponseWritten(boost::beast::error_code aError, bool aKeepAlive);
  void RemoveExchange(const std::deque<Exchange>::iterator& aExchange);
  void SetHeldBytes(Exchange& aExchange, std::uint64_t aBytes);
  void SetReaderBytes(std::uint64_t aBytes);
  std::uint64_t WaitingResponseBytes() const;

  /* Closing. */
  void DiscardRemainder();
  void ReadAndDiscard(std::size_t aDiscarded);
  void OnDiscardable(boost::beast::error_code aError, std::size_t aDiscarded);
  void DropExchanges();
  void CloseSocket();

  boost::beast::tcp_stream m_stream;
  const std::shared_ptr<HttpServerShared> m_server;
  OnClosed m_onClosed;
  std::string m_remoteAddress;
  /* Of the request that is being read. */
  HttpLimits m_limits;
  HttpRequestReader m_reader;
  /* Bytes of the body that is being read or waits for its turn. */
  std::uint64_t m_readerBytes = 0;
  /* Of the reader. */
  MemoryReservation m_memory;
  /* A request that was read and not yet handed over. */
  std::optional<WaitingRequest> m_waiting;
  std::deque<Exchange> m_exchanges;
  std::uint64_t m_lastNumber = 0;
  std::optional<boost::beast::http::response<SharedBodyType>> m_message;
  boost::asio::steady_timer m_readTimer;
  /* When the read timer fires; never if it is not armed. */
  Instant m_timerDue = Instant::max();
  Instant m_readDeadline = Instant::max();
  ReadPhase m_phase = ReadPhase::None;
  bool m_isAdvancing = false;
  bool m_isAwaitingBytes = false;
  bool m_isAwaitingRoom = false;
  bool m_isWriting = false;
  /* Later requests are handed over. */
  bool m_takesRequests = true;
  /* The caller said that it sends no more requests. */
  bool m_isClosedByCaller = false;
  bool m_isDiscarding = false;
  bool m_isOpen = true;
};

}
