#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "cr_settings/cr_settings.h"
#include "cr_transport/http/cr_HttpMessage.h"
#include "cr_transport/io/cr_IoThreads.h"

namespace cr {

/** Limits of an HTTP server. Requests beyond them get a 4xx answer. */
struct HttpLimits
{
  std::uint32_t m_headerBytes = 16 * 1024;
  std::uint64_t m_bodyBytes = 1024 * 1024;
  /** Connections beyond this number are closed as soon as they are accepted. */
  std::size_t m_connections = 4096;
  /** Longest time without a request on a connection. */
  Duration m_idle = Seconds(60);
  /** Longest time from the first byte of a request to the end of its
      header. */
  Duration m_header = Seconds(10);
  /** Longest time for the rest of a request, and for writing an answer. */
  Duration m_transfer = Seconds(10);
  /** Bytes of bodies that all connections together may hold; a request beyond
      them gets 503. */
  std::uint64_t m_heldBodyBytes = 256 * 1024 * 1024;
};

/** The way to answer one request. Copies stand for the same request. */
class HttpResponder
{
public:
  /** What a connection offers to its responder. */
  struct Target
  {
    virtual ~Target() = default;
    virtual void Send(HttpResponse aResponse) = 0;
    virtual void WatchCaller(std::function<void()> aGone) = 0;
  };

  /** Wraps the connection's side of the request. */
  explicit HttpResponder(std::shared_ptr<Target> aTarget)
    : m_target(std::move(aTarget))
  {
  }

  /** Sends the answer; only the first call has an effect. Thread safe. */
  void Send(HttpResponse aResponse) const
  {
    m_target->Send(std::move(aResponse));
  }

  /** Calls the function once if the caller closes its connection before the
      answer was sent. Thread safe. */
  void WatchCaller(std::function<void()> aGone) const
  {
    m_target->WatchCaller(std::move(aGone));
  }

private:
  std::shared_ptr<Target> m_target;
};

/** Called with each request, on one of the I/O threads. */
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/** Accepts HTTP/1.1 connections. One request at a time per connection; requests
    are never pipelined. All methods are thread safe. */
class HttpServer
{
public:
  /** Prepares a server; the threads must outlive it. */
  HttpServer(IoThreads& aThreads, HttpLimits aLimits, HttpHandler aHandler);
  /** Closes all connections. */
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  //==========================================================================
  /** Starts to listen. Port 0 takes a free one. */
  Expected<Endpoint> Listen(const Endpoint& aEndpoint);

  /** Changes the limits of the requests that follow. */
  void SetLimits(const HttpLimits& aLimits);

  /** Answers go on, but each one closes its connection, so that customers go
      elsewhere while new connections are still accepted. */
  void CloseAfterAnswers();

  /** Stops accepting connections; requests in progress go on and their
      connections close after the answer. */
  void StopAccepting();

  /** Closes all connections at once. */
  void Close();

  //==========================================================================
  /** Returns the number of requests not yet answered in full. */
  std::size_t RequestsInProgress() const;

private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

}
