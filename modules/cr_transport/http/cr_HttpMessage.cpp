#include "cr_transport/http/cr_HttpMessage.h"

#include <boost/beast/core/string.hpp>

namespace cr {

std::string_view
FindHeader(std::span<const HttpHeader> aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (boost::beast::iequals(header.m_name, aName)) {
      return header.m_value;
    }
  }
  return {};
}

HttpResponse
MakeTextResponse(unsigned aStatus, std::string aBody, std::string aContentType)
{
  return { aStatus,
           { { "Content-Type", std::move(aContentType) } },
           std::move(aBody) };
}

}
