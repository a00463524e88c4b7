#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "cr_transport/http/cr_HttpMessage.h"

namespace cr {

/** Result of reading from the bytes that were received so far. */
enum class HttpResponseProgress
{
  /** More bytes are needed. */
  Incomplete,
  /** A whole response was read; Take() returns it. */
  Complete,
  /** The bytes are no whole and well-formed response; Error() tells why. */
  Broken
};

/** How the server ended a connection. */
enum class HttpConnectionEnd
{
  /** It ended its direction after its last byte. */
  Orderly,
  /** The connection was reset or timed out; bytes may be lost. */
  Reset
};

/** Reads the responses of one connection from the bytes that it received, one
    after the other, and tells whole responses from broken ones. Opens no socket
    and reads no clock. Not thread safe. */
class HttpResponseReader
{
public:
  HttpResponseReader();
  ~HttpResponseReader();
  HttpResponseReader(const HttpResponseReader&) = delete;
  HttpResponseReader& operator=(const HttpResponseReader&) = delete;

  //==========================================================================
  /** Begins the next response; one that was not taken is discarded. The body
     may have aMaxBodyBytes. A response to a HEAD request has no body. */
  void Begin(std::uint64_t aMaxBodyBytes, bool aIsToHead);

  /** Returns space for the next bytes to receive, at least one byte.
      Precondition: the last call of Read() has returned Incomplete. */
  boost::asio::mutable_buffer Prepare();

  /** Adds bytes that were received into the space of Prepare(). */
  void Commit(std::size_t aBytes) { m_buffer.commit(aBytes); }

  /** Reads from the bytes that were received. Precondition: Begin() was called,
      and no later call has returned Complete or Broken. */
  HttpResponseProgress Read();

  /** Like Read(), when no more bytes will come. Never returns Incomplete. */
  HttpResponseProgress ReadEnd(HttpConnectionEnd aEnd);

  /** Returns the response. Precondition: the last Read() or ReadEnd() has
      returned Complete. */
  HttpResponse Take();

  //==========================================================================
  /** Returns the response as far as it was read. Precondition: Begin() was
      called, and the response was not taken. */
  const HttpResponse& Response() const;

  /** Returns whether a byte of the present response was received. */
  bool IsStarted() const;

  /** Returns about how much memory the response takes once the space of
     Prepare() is filled: all of its body if its length is known. Precondition:
     as for Prepare(). */
  std::uint64_t MemoryAfterReceipt() const;

  /** Returns whether the header was read and tells the length of the body.
      Precondition: as for Response(). */
  bool IsLengthKnown() const;

  /** Returns whether the server keeps the connection open after the response.
      Precondition: as for Take(). */
  bool KeepsConnection() const;

  /** Returns whether bytes were received and not yet read. */
  bool HasUnreadBytes() const { return m_buffer.size() != 0; }

  /** Returns why the response is broken; empty if it isn't. */
  const std::string& Error() const { return m_error; }

private:
  class Parser;

  std::size_t BytesToReceive() const;
  HttpResponseProgress Parse();
  HttpResponseProgress Break(std::string aError);

  boost::beast::flat_buffer m_buffer;
  std::unique_ptr<Parser> m_parser;
  std::string m_error;
};

}
