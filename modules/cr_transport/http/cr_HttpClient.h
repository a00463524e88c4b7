#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "cr_settings/cr_settings.h"
#include "cr_transport/http/cr_HttpMessage.h"
#include "cr_transport/io/cr_IoThreads.h"

namespace cr {

/** An exchange that brought no whole answer. */
struct HttpFailure
{
  /** False only when it is certain that no byte of the request was sent. */
  bool m_sent = false;
  /** True when the exchange was cancelled or took too long. */
  bool m_timedOut = false;
  /** True when no connection could be opened. */
  bool m_unreachable = false;
  std::string m_text;
};

/** The whole answer, or the failure. */
using HttpResult = std::variant<HttpResponse, HttpFailure>;

/** Called once with the result, on one of the I/O threads. */
using HttpCallback = std::function<void(HttpResult)>;

/** Settings of an HTTP client. */
struct HttpClientSettings
{
  /** Idle connections kept for each endpoint. */
  std::size_t m_idlePerEndpoint = 32;
  /** Longest time a connection may idle and still be trusted; after that a new
      one is opened, as something between the ends may have lost track of it. */
  Duration m_idleLimit = Seconds(2);
  /** Longest time that bytes sent on a connection may stay unacknowledged by
      the other host's kernel, and about a third of the longest silence of that
      kernel while an answer is awaited. However long an answer takes, the
     kernel of a live host acknowledges. Whole seconds count. */
  Duration m_silenceLimit = Seconds(1);
  Duration m_connectTimeout = Seconds(1);
  std::uint64_t m_bodyBytes = 4 * 1024 * 1024;
};

/** How one request is sent. */
struct HttpSendOptions
{
  /** Longest time until the whole answer. */
  Duration m_timeout = Seconds(1);
  /** Longest time that a connection may have idled; at most that of the
      settings, which holds when nothing is given. Zero opens a new one. */
  std::optional<Duration> m_idleLimit;
  /** Header that an answer repeats from the request; empty for none. A whole
      answer that has another value there belongs to another request and is
      dropped, and the next one on the connection is read. */
  std::string m_echoedHeader;
  /** Send once more, on a new connection, when a kept connection breaks before
      the first byte of an answer. Only for requests that may run again. */
  bool m_resendIfStale = false;
};

/** An exchange in progress. Cancelling closes its connection; the callback is
    still called, with a failure. */
using HttpExchange = Cancellation;

/** Sends HTTP requests over pooled connections, one exchange at a time on each.
    A connection whose exchange failed or was cancelled is closed, never reused;
    a failure closes the idle connections to the same endpoint too, so that a
   dead host costs one timeout and not one for each connection. All methods are
   thread safe. */
class HttpClient
{
public:
  /** Prepares a client; the threads must outlive it. */
  HttpClient(IoThreads& aThreads, HttpClientSettings aSettings);
  /** Closes idle connections; exchanges in progress end with a failure. */
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  //==========================================================================
  /** Sends the request and calls back within the timeout. */
  HttpExchange Send(const Endpoint& aEndpoint,
                    HttpRequest aRequest,
                    Duration aTimeout,
                    HttpCallback aCallback);

  /** Sends the request as the options say, and calls back within their
      timeout. An answer that arrives before the whole request is sent is an
      answer. */
  HttpExchange Send(const Endpoint& aEndpoint,
                    HttpRequest aRequest,
                    const HttpSendOptions& aOptions,
                    HttpCallback aCallback);

  /** Like Send(), on a connection that is opened for it. */
  HttpExchange SendOnNewConnection(const Endpoint& aEndpoint,
                                   HttpRequest aRequest,
                                   Duration aTimeout,
                                   HttpCallback aCallback);

  /** Closes idle connections to the endpoint. */
  void DropIdle(const Endpoint& aEndpoint);

  //==========================================================================
  /** Sends the request and waits for the result. Not from an I/O thread. */
  HttpResult SendAndWait(const Endpoint& aEndpoint,
                         HttpRequest aRequest,
                         Duration aTimeout);

private:
  class Implementation;

  std::shared_ptr<Implementation> m_implementation;
};

}
