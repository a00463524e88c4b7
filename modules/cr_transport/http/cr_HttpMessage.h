#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cr_core/cr_core.h"
#include "cr_transport/memory/cr_MemoryAccount.h"

namespace cr {

/** One header field. */
struct HttpHeader
{
  std::string m_name;
  std::string m_value;
};

/** Header fields in the order received. */
using HttpHeaders = std::vector<HttpHeader>;

/** A body that several messages share. */
using SharedBody = std::shared_ptr<const std::string>;

/** An HTTP request without its framing. */
struct HttpRequest
{
  std::string m_method = "GET";
  std::string m_target = "/";
  HttpHeaders m_headers;
  std::string m_body;
  /** IP address of the client; set by HttpServer. */
  std::string m_remoteAddress{};
  /** How long the request waited for earlier ones of its connection after it
      was read; set by HttpServer. */
  Duration m_waited{};
  /** Body to send in place of m_body, unless null. */
  SharedBody m_sharedBody{};
  /** Memory of a request that was received; set by HttpServer. */
  MessageMemory m_memory{};
};

/** Returns the body to send; null if it is empty. Thread safe. */
template<typename Message>
SharedBody
ShareBody(Message&& aMessage)
{
  if (aMessage.m_sharedBody || aMessage.m_body.empty()) {
    return std::move(aMessage.m_sharedBody);
  }
  return std::make_shared<const std::string>(std::move(aMessage.m_body));
}

/** HTTP status codes that the programs send. */
inline constexpr unsigned kHttpOk = 200;
inline constexpr unsigned kHttpBadRequest = 400;
inline constexpr unsigned kHttpNotFound = 404;
inline constexpr unsigned kHttpConflict = 409;
inline constexpr unsigned kHttpBadGateway = 502;
inline constexpr unsigned kHttpUnavailable = 503;
inline constexpr unsigned kHttpGatewayTimeout = 504;

/** An HTTP response without its framing. */
struct HttpResponse
{
  unsigned m_status = kHttpOk;
  HttpHeaders m_headers;
  std::string m_body;
  /** Closes the connection after this response. */
  bool m_close = false;
  /** Number of requests that the connection had carried before; set by
      HttpClient. */
  std::size_t m_earlier = 0;
  /** Body to send in place of m_body, unless null. */
  SharedBody m_sharedBody{};
  /** Memory of a response that was received; set by HttpClient. HttpServer
      keeps it until the response is sent. */
  MessageMemory m_memory{};
};

/** Returns the value of the first header with the name, ignoring case; empty
    when there is none. Thread safe. */
std::string_view
FindHeader(std::span<const HttpHeader> aHeaders, std::string_view aName);

/** Returns about how much memory the headers take. Thread safe. */
std::uint64_t
MemoryOf(std::span<const HttpHeader> aHeaders);

/** Returns about how much memory the request takes, without a shared body.
    Thread safe. */
std::uint64_t
MemoryOf(const HttpRequest& aRequest);

/** Removes hop-by-hop headers (RFC 9110, section 7.6.1) and those that a
    Connection header lists. Thread safe. */
void
RemoveHopByHopHeaders(HttpHeaders& aHeaders);

/** Returns whether two header names are equal, ignoring case. Thread safe. */
bool
IsSameHeader(std::string_view aFirst, std::string_view aSecond);

/** Returns a response with a text body. Thread safe. */
HttpResponse
MakeTextResponse(unsigned aStatus,
                 std::string aBody,
                 std::string aContentType = "text/plain");

}
