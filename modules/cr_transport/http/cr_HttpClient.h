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

/** Failure of an exchange that ended without a complete response. */
struct HttpFailure
{
  /** False only when no byte of the request can have been sent. */
  bool m_sent = false;
  /** True when the exchange was cancelled or timed out. */
  bool m_timedOut = false;
  /** True when no connection could be opened. */
  bool m_unreachable = false;
  /** True when bytes were received that are no whole and well-formed response.
   */
  bool m_brokenAnswer = false;
  std::string m_text;
};

/** The complete response, or the failure. */
using HttpResult = std::variant<HttpResponse, HttpFailure>;

/** Called once with the result, on one of the I/O threads. */
using HttpCallback = std::function<void(HttpResult)>;

/** Settings of an HTTP client. */
struct HttpClientSettings
{
  /** Max idle connections per endpoint. */
  std::size_t m_maxIdlePerEndpoint = 32;
  /** Max idle time after which a connection is still reused. A device on the
      path, such as a NAT or a firewall, may have dropped the state of a
      connection that idled longer. */
  Duration m_idleLimit = Seconds(2);
  /** Max time that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT), and
      the idle time and interval of keepalive probes. A connection on which the
      other host stops acknowledging while a response is awaited breaks after
      about three times this value; a slow response does not break it, as the
      kernel of a live host acknowledges probes. The probe times are rounded
      down to whole seconds, at least 1 s. */
  Duration m_unackedLimit = Seconds(1);
  Duration m_connectTimeout = Seconds(1);
  std::uint64_t m_bodyBytes = 4 * 1024 * 1024;
  /** Account for requests in progress and for responses. Without room in it, a
      response is not read on. Null for an account of the client's own. */
  std::shared_ptr<MemoryAccount> m_account;
  /** Limit of that account. */
  std::uint64_t m_heldBodyBytes = 256 * 1024 * 1024;
};

/** Options of one request. */
struct HttpSendOptions
{
  /** Max time until the response is complete. */
  Duration m_timeout = Seconds(1);
  /** Max idle time of a reused connection, capped by the client's setting,
      which is also the default. Zero opens a new connection. */
  std::optional<Duration> m_idleLimit;
  /** Header that a response echoes from the request; empty for none. A complete
      response with another value belongs to another request: it is discarded,
      and the next response on the connection is read. A connection carries
      each value once, as the value could not tell a late copy of the first
      response from the second one. A connection is not reused after a response
      without the header, as a late copy of it could not be identified; on a
      connection that was reused, such a response is a failure. */
  std::string m_echoedHeader;
  /** Accepts a success without the echoed header; otherwise only responses that
      tell no success may lack it. */
  bool m_isEchoOptional = false;
  /** Sends the request on a new connection and closes it after the response.
      For requests whose response has no identifier, if requests with one are
      sent to the same endpoint. */
  bool m_isOnOwnConnection = false;
};

/** Handle of an exchange in progress. Cancelling closes its connection; the
    callback is still called, with a failure. */
using HttpExchange = Cancellation;

/** Sends HTTP requests over pooled connections, one exchange at a time on each.
    Sends each request once; only the caller decides whether to repeat it.
    Only a whole and well-formed response is passed on, as HttpResponseReader
    tells; any other one is a failure, after which the request may have run.
    A connection whose exchange failed or was cancelled is closed, never reused.
    A failure also closes the idle connections to the same endpoint, so that a
    dead host costs one timeout and not one per connection. All methods are
    thread safe. */
class HttpClient
{
public:
  /** Creates a client; the threads must outlive it. */
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

  /** Sends the request with the options, and calls back within their timeout. A
      response that arrives before the whole request is sent is accepted. */
  HttpExchange Send(const Endpoint& aEndpoint,
                    HttpRequest aRequest,
                    const HttpSendOptions& aOptions,
                    HttpCallback aCallback);

  /** Like Send(), but on a new connection. */
  HttpExchange SendOnNewConnection(const Endpoint& aEndpoint,
                                   HttpRequest aRequest,
                                   Duration aTimeout,
                                   HttpCallback aCallback);

  /** Closes idle connections to the endpoint. */
  void CloseIdle(const Endpoint& aEndpoint);

  //==========================================================================
  /** Sends the request and blocks until the result. Must not be called from an
      I/O thread. */
  HttpResult SendAndWait(const Endpoint& aEndpoint,
                         HttpRequest aRequest,
                         Duration aTimeout);

private:
  class Implementation;

  std::shared_ptr<Implementation> m_implementation;
};

}
