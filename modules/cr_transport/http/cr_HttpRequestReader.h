#pragma once

#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "cr_transport/http/cr_HttpBody.h"
#include "cr_transport/http/cr_HttpServer.h"

namespace cr {

/** Result of reading from the bytes that were received so far. */
enum class HttpReadProgress
{
  /** More bytes are needed. */
  Incomplete,
  /** A whole request was read; Take() returns it. */
  Complete,
  /** The bytes are no acceptable request; Refusal() tells the response. */
  Refused
};

/** Reads the requests of one connection from the bytes that it received, one
    after the other. Opens no socket and reads no clock. Not thread safe. */
class HttpRequestReader
{
public:
  /** A request, and what its framing says of the connection. */
  struct ReadRequest
  {
    HttpRequest m_request;
    /** The client keeps the connection open after the response. */
    bool m_keepAlive = false;
    bool m_isHead = false;
  };

  //==========================================================================
  /** Refusals repeat the header with the name; empty for none. */
  explicit HttpRequestReader(std::string aEchoedHeader = {})
    : m_echoedHeader(std::move(aEchoedHeader))
  {
  }

  /** Returns space for the next bytes to receive, at least one byte.
      Precondition: the space that is left, BytesAllowed(), is not 0. */
  boost::asio::mutable_buffer Prepare();

  /** Adds bytes that were received into the space of Prepare(). */
  void Commit(std::size_t aBytes) { m_buffer.commit(aBytes); }

  /** Continues to read the present request, or begins the next one. A request
      whose body has more than aMaxBodyBytes is refused as one for which there
      is no room. */
  HttpReadProgress Read(const HttpLimits& aLimits, std::uint64_t aMaxBodyBytes);

  /** Refuses the present request as one for which there is no room. */
  void RefuseForLackOfRoom();

  /** Returns the request that was read. Precondition: Read() has returned
      Complete since the last call. */
  ReadRequest Take();

  /** Discards the present request, and the memory of received bytes. */
  void Discard();

  //==========================================================================
  /** Returns the response to a request that was refused. */
  const HttpResponse& Refusal() const { return m_refusal; }

  /** Returns whether a part of a request was received and is being read. */
  bool IsReading() const { return m_parser.has_value(); }

  /** Returns whether the header of the present request was read. */
  bool IsHeaderRead() const { return m_parser && m_parser->is_header_done(); }

  /** Returns the number of bytes that were received and not yet read. */
  std::size_t BufferedBytes() const { return m_buffer.size(); }

  /** Returns how many bytes may be received before the next Read(). */
  std::size_t BytesAllowed() const;

  /** Returns the bytes of the body that the present request has announced or
      sent. */
  std::uint64_t BodyBytes() const;

  /** Returns about how much memory the reader takes. */
  std::uint64_t Memory() const { return MemoryWith(0); }

  /** Returns about how much memory the reader takes once the space of Prepare()
      is filled. Precondition: as for Prepare(). */
  std::uint64_t MemoryAfterReceipt() const;

private:
  using Parser = boost::beast::http::request_parser<ReceivedBodyType>;

  HttpReadProgress Refuse(unsigned aStatus, std::string_view aText);
  std::size_t BytesToReceive() const;
  std::uint64_t MemoryWith(std::size_t aBytes) const;
  HttpReadProgress Parse(boost::beast::error_code& aError);

  const std::string m_echoedHeader;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  HttpResponse m_refusal;
  std::size_t m_maxBufferBytes = 0;
  /* Of the header fields that were read. */
  std::uint64_t m_headMemory = 0;
};

}
