#include "cr_transport/http/cr_HttpMessage.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace cr {

namespace {

constexpr std::array<std::string_view, 8> kHopByHopHeaders = {
  "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
  "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length"
};

/* Of the heap and of the containers for one header, in a message and in its
   serialized form. */
constexpr std::uint64_t kHeaderOverheadBytes = 160;

}

std::uint64_t
MemoryOf(std::span<const HttpHeader> aHeaders)
{
  std::uint64_t bytes = 0;
  for (const HttpHeader& header : aHeaders) {
    bytes +=
      header.m_name.size() + header.m_value.size() + kHeaderOverheadBytes;
  }
  return bytes;
}

std::uint64_t
MemoryOf(const HttpRequest& aRequest)
{
  return sizeof(HttpRequest) + aRequest.m_target.size() +
         MemoryOf(aRequest.m_headers) + aRequest.m_body.size();
}

std::string_view
FindHeader(std::span<const HttpHeader> aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (IsSameHeader(header.m_name, aName)) {
      return header.m_value;
    }
  }
  return {};
}

void
RemoveHopByHopHeaders(HttpHeaders& aHeaders)
{
  std::vector<std::string> named;
  for (const HttpHeader& header : aHeaders) {
    if (IsSameHeader(header.m_name, "Connection")) {
      for (const auto& token : boost::beast::http::token_list(header.m_value)) {
        named.emplace_back(token);
      }
    }
  }
  std::erase_if(aHeaders, [&](const HttpHeader& aHeader) {
    const auto isName = [&](std::string_view aName) {
      return IsSameHeader(aHeader.m_name, aName);
    };
    return std::any_of(
             kHopByHopHeaders.begin(), kHopByHopHeaders.end(), isName) ||
           std::any_of(named.begin(), named.end(), isName);
  });
}

bool
IsSameHeader(std::string_view aFirst, std::string_view aSecond)
{
  return boost::beast::iequals(aFirst, aSecond);
}

HttpResponse
MakeTextResponse(unsigned aStatus, std::string aBody, std::string aContentType)
{
  return { aStatus,
           { { "Content-Type", std::move(aContentType) } },
           std::move(aBody) };
}

}
