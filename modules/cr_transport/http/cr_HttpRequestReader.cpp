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
/* Of the heap and of the container for one field. */
constexpr std::uint64_t kFieldOverheadBytes = 96;
/* Time after which a request that was refused for lack of room may come again.
 */
constexpr std::string_view kRetryAfterSeconds = "1";

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
ToRequest(http::request<ReceivedBodyType>&& aMessage)
{
  HttpRequest request;
  request.m_method = std::string(aMessage.method_string());
  request.m_target = std::string(aMessage.target());
  for (const auto& field : aMessage) {
    request.m_headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  request.m_body = aMessage.body().Take();
  return request;
}

/* Returns about how much memory the parser takes for the fields. */
std::uint64_t
MemoryOf(const http::fields& aFields)
{
  std::uint64_t bytes = 0;
  for (const auto& field : aFields) {
    bytes +=
      field.name_string().size() + field.value().size() + kFieldOverheadBytes;
  }
  return bytes;
}

}

boost::asio::mutable_buffer
HttpRequestReader::Prepare()
{
  return m_buffer.prepare(BytesToReceive());
}

std::size_t
HttpRequestReader::BytesToReceive() const
{
  const std::size_t spare = m_buffer.capacity() - m_buffer.size();
  std::size_t wanted = std::max(spare, kMinReceivedBytes);
  if (IsHeaderRead()) {
    wanted = std::max(wanted, kMaxReadAheadBytes);
  }
  const auto left = IsHeaderRead() ? m_parser->content_length_remaining()
                                   : boost::optional<std::uint64_t>();
  if (left) {
    wanted = std::min(
      wanted, std::max(kMinReceivedBytes, static_cast<std::size_t>(*left)));
  }
  return std::min(wanted, BytesAllowed());
}

std::uint64_t
HttpRequestReader::MemoryAfterReceipt() const
{
  return MemoryWith(BytesToReceive());
}

/* All unread bytes may turn out to be a part of the body. */
std::uint64_t
HttpRequestReader::MemoryWith(std::size_t aBytes) const
{
  const std::size_t unread = m_buffer.size() + aBytes;
  const std::uint64_t buffers =
    std::max(unread, m_buffer.capacity()) + m_headMemory;
  if (!IsHeaderRead()) {
    return buffers;
  }
  const auto length = m_parser->content_length();
  return buffers +
         (length ? *length : m_parser->get().body().MemoryWith(unread));
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
                                 m_parser->get().body().Size());
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
    m_maxBufferBytes = aLimits.m_headerBytes + kMaxUnparsedBytes;
  }
  beast::error_code error;
  if (!m_parser->is_header_done()) {
    const HttpReadProgress progress = Parse(error);
    if (progress == HttpReadProgress::Refused) {
      return progress;
    }
    m_headMemory = MemoryOf(m_parser->get());
    if (!m_parser->is_header_done()) {
      return progress;
    }
    if (!m_parser->is_done() && aMaxBodyBytes == 0) {
      RefuseForLackOfRoom();
      return HttpReadProgress::Refused;
    }
    m_parser->eager(true);
  }
  if (!m_parser->is_done() && BodyBytes() <= aMaxBodyBytes &&
      m_buffer.size() != 0) {
    if (Parse(error) == HttpReadProgress::Refused) {
      return HttpReadProgress::Refused;
    }
  }
  if (BodyBytes() > aMaxBodyBytes) {
    RefuseForLackOfRoom();
    return HttpReadProgress::Refused;
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

void
HttpRequestReader::RefuseForLackOfRoom()
{
  Refuse(kHttpUnavailable, "no room for the body");
  m_refusal.m_headers.push_back(
    { "Retry-After", std::string(kRetryAfterSeconds) });
}

HttpReadProgress
HttpRequestReader::Refuse(unsigned aStatus, std::string_view aText)
{
  m_refusal = MakeTextResponse(aStatus, std::string(aText) + "\n");
  const auto echoed = m_echoedHeader.empty() ? beast::string_view()
                                             : m_parser->get()[m_echoedHeader];
  if (!echoed.empty()) {
    m_refusal.m_headers.push_back({ m_echoedHeader, std::string(echoed) });
  }
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
  m_headMemory = 0;
  if (m_buffer.size() == 0 && m_buffer.capacity() > kKeptBufferBytes) {
    m_buffer.shrink_to_fit();
  }
  return read;
}

void
HttpRequestReader::Discard()
{
  m_parser.reset();
  m_headMemory = 0;
  m_buffer.clear();
  m_buffer.shrink_to_fit();
}

}
