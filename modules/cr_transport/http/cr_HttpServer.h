#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "cr_settings/cr_settings.h"
#include "cr_transport/http/cr_HttpMessage.h"
#include "cr_transport/io/cr_IoThreads.h"

namespace cr {

/** Limits of an HTTP server. Requests that exceed them get a 4xx response. */
struct HttpLimits
{
  std::uint32_t m_headerBytes = 16 * 1024;
  std::uint64_t m_bodyBytes = 1024 * 1024;
  /** Connections beyond this number are closed right after they are
      accepted. */
  std::size_t m_connections = 4096;
  /** Max time without a request on a connection. */
  Duration m_idle = Seconds(60);
  /** Max time from the first byte of a request to the end of its header. A
      request that is late closes its connection, after the responses to earlier
      ones. */
  Duration m_header = Seconds(10);
  /** Max time to read the body of a request, and to write a response. */
  Duration m_transfer = Seconds(10);
  /** Max bytes of request bodies, and of responses that wait for earlier ones
     of their connection, in memory over all connections; a request that exceeds
      it gets 503. */
  std::uint64_t m_heldBodyBytes = 256 * 1024 * 1024;
};

/** Sends the response to one request. Copies refer to the same request. */
class HttpResponder
{
public:
  /** Interface of the connection that a responder uses. */
  struct Target
  {
    virtual ~Target() = default;
    virtual void Send(HttpResponse aResponse) = 0;
    virtual void NotifyOnDisconnect(std::function<void()> aOnDisconnect) = 0;
    virtual void Close() = 0;
    virtual bool IsCallerConnected() const = 0;
  };

  /** Wraps the connection's target for the request. */
  explicit HttpResponder(std::shared_ptr<Target> aTarget)
    : m_target(std::move(aTarget))
  {
  }

  /** Sends the response; only the first call has an effect. Thread safe. */
  void Send(HttpResponse aResponse) const
  {
    m_target->Send(std::move(aResponse));
  }

  /** Calls the function once if the caller closes its connection, or the
      connection ends before the response is written. No effect once a response
      was sent. Thread safe. */
  void NotifyOnDisconnect(std::function<void()> aOnDisconnect) const
  {
    m_target->NotifyOnDisconnect(std::move(aOnDisconnect));
  }

  /** Closes the connection without a response, after the responses to earlier
      requests. Later requests in progress are told of the disconnect. No effect
      once a response was sent. Thread safe. */
  void Close() const { m_target->Close(); }

  /** Returns false if the caller has closed its connection, even if the
      callback of NotifyOnDisconnect() has not run yet. Must be called in the
      handler, or on the I/O thread of a server that has only one. */
  bool IsCallerConnected() const { return m_target->IsCallerConnected(); }

private:
  std::shared_ptr<Target> m_target;
};

/** Called with each request, on one of the I/O threads. */
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/** Returns whether a request may run beside others of its connection, which it
    may if it is safe to run in any order with them. Called on one of the I/O
    threads. */
using HttpOverlapCheck = std::function<bool(const HttpRequest&)>;

/** Options of an HTTP server. */
struct HttpServerOptions
{
  /** Account for what the server holds: requests until they are released, and
      responses until they are sent. Without room in it, requests are refused or
      not read on. Null for an account of the server's own. */
  std::shared_ptr<MemoryAccount> m_account;
  /** Added to responses to requests for which there is no room. */
  HttpHeaders m_refusalHeaders;
  /** Header that a response to a request which is refused before it is handled
      repeats; empty for none. */
  std::string m_echoedHeader;
};

/** HTTP/1.1 server. Responses are written in the order of the requests.
   Pipelined requests that the overlap check allows are handled side by side;
   any other is handled once all earlier ones of its connection are answered.
   The number of requests in progress on a connection is bounded, and so are the
   bytes of responses that wait for an earlier one; beyond that, reading stops.

    A response that closes the connection is that of the last request that was
    handed to the handler; what was received behind it is discarded unhandled.
    All methods are thread safe. */
class HttpServer
{
public:
  /** Creates a server; the threads must outlive it. Without an overlap check,
      requests of one connection are handled one after the other. */
  HttpServer(IoThreads& aThreads,
             HttpLimits aLimits,
             HttpHandler aHandler,
             HttpOverlapCheck aMayOverlap = {},
             HttpServerOptions aOptions = {});
  /** Closes all connections. */
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  //==========================================================================
  /** Starts listening. Port 0 picks a free port. */
  Expected<Endpoint> Listen(const Endpoint& aEndpoint);

  /** Changes the limits for later requests. */
  void SetLimits(const HttpLimits& aLimits);

  /** Closes each connection after the responses to its requests in progress, at
      least one, so that customers move to other hosts; new connections are
     still accepted. */
  void CloseAfterResponses();

  /** Stops accepting connections. Requests in progress continue, and their
      connections close after the responses. */
  void StopAccepting();

  /** Closes all connections immediately. */
  void Close();

  //==========================================================================
  /** Returns the number of requests without a complete response. */
  std::size_t RequestsInProgress() const;

private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

}
