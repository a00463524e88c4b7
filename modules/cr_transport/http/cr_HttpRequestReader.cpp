#include "cr_transport/http/cr_HttpRequestReader.h"

#include <algorithm>

#include <boost/beast/http/error.hpp>

namespace cr {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/* Max bytes received ahead of the parser, besides a header. Bounds what belongs
   to neither header nor body, such as chunk extensions and trailers. */
constexpr std::size_t kMaxUnparsedBytes = 128 * 1024;
/* Max bytes received behind the requests that were read. */
constexpr std::size_t kMaxReadAheadBytes = 16 * 1024;
constexpr std::size_t kMinReceivedBytes = 2048;
/* A buffer of more bytes is released when it is empty. */
constexpr std::size_t kKeptBufferBytes = 8 * 1024;

unsigned
StatusOf(const beast::error_code& aError)
{
  constexpr unsigned payloadTooLarge = 413;
  constexpr unsigned headersTooLarge = 431;
  if (aError == http::error::body_limit) {
    return payloadTooLarge;
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return headersTooLarge;
  }
  return kHttpBadRequest;
}

HttpRequest
ToRequest(http::request<http::string_body>&& aMessage)
{
  HttpRequest request;
  request.m_method = std::string(aMessage.method_string());
  request.m_target = std::string(aMessage.target());
  for (const auto& field : aMessage) {
    request.m_headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  request.m_body = std::move(aMessage.body());
  return request;
}

}

boost::asio::mutable_buffer
HttpRequestReader::Prepare()
{
  const std::size_t spare = m_buffer.capacity() - m_buffer.size();
  std::size_t wanted = std::max(spare, kMinReceivedBytes);
  if (IsHeaderRead()) {
    wanted = std::max(wanted, kMaxReadAheadBytes);
  }
  return m_buffer.prepare(std::min(wanted, BytesAllowed()));
}

std::size_t
HttpRequestReader::BytesAllowed() const
{
  const std::size_t max = m_parser ? m_maxBufferBytes : kMaxReadAheadBytes;
  return max - std::min(max, m_buffer.size());
}

std::uint64_t
HttpRequestReader::BodyBytes() const
{
  if (!IsHeaderRead()) {
    return 0;
  }
  return std::max<std::uint64_t>(m_parser->content_length().value_or(0),
                                 m_parser->get().body().size());
}

HttpReadProgress
HttpRequestReader::Read(const HttpLimits& aLimits, std::uint64_t aMaxBodyBytes)
{
  if (!m_parser) {
    if (m_buffer.size() == 0) {
      return HttpReadProgress::Incomplete;
    }
    m_parser.emplace();
    m_parser->header_limit(aLimits.m_headerBytes);
    m_parser->body_limit(aLimits.m_bodyBytes);
    m_maxBodyBytes = aMaxBodyBytes;
    m_maxBufferBytes = aLimits.m_headerBytes + kMaxUnparsedBytes;
  }
  beast::error_code error;
  if (!m_parser->is_header_done()) {
    const HttpReadProgress progress = Parse(error);
    if (progress == HttpReadProgress::Refused || !m_parser->is_header_done()) {
      return progress;
    }
    const std::uint64_t length = m_parser->content_length().value_or(0);
    if (!m_parser->is_done() &&
        (length > m_maxBodyBytes || m_maxBodyBytes == 0)) {
      return Refuse(kHttpUnavailable, "no room for the body");
    }
    m_parser->body_limit(std::min(aLimits.m_bodyBytes, m_maxBodyBytes));
    m_parser->eager(true);
  }
  if (!m_parser->is_done() && m_buffer.size() != 0) {
    return Parse(error);
  }
  return m_parser->is_done() ? HttpReadProgress::Complete
                             : HttpReadProgress::Incomplete;
}

HttpReadProgress
HttpRequestReader::Parse(beast::error_code& aError)
{
  const std::size_t used = m_parser->put(m_buffer.data(), aError);
  m_buffer.consume(used);
  if (aError == http::error::need_more) {
    aError = {};
    if (m_buffer.size() >= m_maxBufferBytes) {
      aError = http::error::buffer_overflow;
    }
  }
  if (aError) {
    return Refuse(StatusOf(aError), "malformed request: " + aError.message());
  }
  return m_parser->is_done() ? HttpReadProgress::Complete
                             : HttpReadProgress::Incomplete;
}

HttpReadProgress
HttpRequestReader::Refuse(unsigned aStatus, std::string_view aText)
{
  m_refusal = MakeTextResponse(aStatus, std::string(aText) + "\n");
  Discard();
  return HttpReadProgress::Refused;
}

HttpRequestReader::ReadRequest
HttpRequestReader::Take()
{
  ReadRequest read;
  read.m_keepAlive = m_parser->get().keep_alive();
  read.m_isHead = m_parser->get().method() == http::verb::head;
  read.m_request = ToRequest(m_parser->release());
  m_parser.reset();
  if (m_buffer.size() == 0 && m_buffer.capacity() > kKeptBufferBytes) {
    m_buffer.shrink_to_fit();
  }
  return read;
}

void
HttpRequestReader::Discard()
{
  m_parser.reset();
  m_buffer.clear();
  m_buffer.shrink_to_fit();
}

}
