#include "cr_transport/http/cr_HttpResponseReader.h"

#include <algorithm>
#include <cassert>
#include <span>
#include <string_view>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/optional.hpp>

#include "cr_transport/http/cr_HttpBody.h"

namespace cr {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/* Max bytes received ahead of the parser. Bounds what belongs to neither header
   nor body, such as chunk extensions and trailers. */
constexpr std::size_t kMaxBufferBytes = 128 * 1024;
constexpr std::size_t kMinReceivedBytes = 512;
/* A buffer of more bytes is released with its last response. */
constexpr std::size_t kKeptBufferBytes = 8 * 1024;
/* Size of the end of a chunked body. */
constexpr std::size_t kChunksEndBytes = std::string_view("0\r\n\r\n").size();
constexpr int kHttpVersion11 = 11;
constexpr std::string_view kLineEnd = "\r\n";

/* Returns whether the code is in a class that RFC 9110, section 15, defines.
   Protocols are never switched, as no request asks for it. */
bool
IsValidStatus(int aStatus)
{
  constexpr int switchingProtocols = 101;
  constexpr int first = 100;
  constexpr int last = 599;
  return aStatus >= first && aStatus <= last && aStatus != switchingProtocols;
}

/* Returns whether a line of a header begins with a blank, as a continuation of
   the line before it (RFC 9112, section 5.2). The bytes start at a line and may
   go beyond the header. */
bool
HasFoldedLine(std::string_view aBytes)
{
  std::size_t line = 0;
  while (!aBytes.substr(line).starts_with(kLineEnd)) {
    const std::size_t end = aBytes.find(kLineEnd, line);
    if (end == std::string_view::npos) {
      return false;
    }
    line = end + kLineEnd.size();
    if (line < aBytes.size() && (aBytes[line] == ' ' || aBytes[line] == '\t')) {
      return true;
    }
  }
  return false;
}

}

/* Accepts less than Beast's own response parser: what two readers of the same
   bytes may understand differently is an error. */
class HttpResponseReader::Parser : public http::basic_parser<false>
{
public:
  Parser() = default;
  Parser(const Parser&) = delete;
  Parser& operator=(const Parser&) = delete;
  ~Parser() override = default;

  HttpResponse m_response;
  ReceivedBody m_body;
  std::uint64_t m_headMemory = 0;

private:
  void on_request_impl(http::verb /*aVerb*/,
                       beast::string_view /*aMethod*/,
                       beast::string_view /*aTarget*/,
                       int /*aVersion*/,
                       beast::error_code& /*aError*/) override
  {
  }

  void on_response_impl(int aStatus,
                        beast::string_view /*aReason*/,
                        int aVersion,
                        beast::error_code& aError) override
  {
    if (!IsValidStatus(aStatus)) {
      aError = http::error::bad_status;
    }
    m_response.m_status = static_cast<unsigned>(aStatus);
    m_version = aVersion;
  }

  void on_field_impl(http::field aField,
                     beast::string_view aName,
                     beast::string_view aValue,
                     beast::error_code& aError) override
  {
    if (m_isHeaderRead) {
      // A field of the trailer is no field of the header (RFC 9110, section
      // 6.5.1).
      return;
    }
    if (aField == http::field::content_length) {
      // Beast accepts equal lengths, in several fields or in one.
      if (m_hasLength || aValue.find(',') != beast::string_view::npos) {
        aError = http::error::multiple_content_length;
      }
      m_hasLength = true;
    }
    // No other coding was asked for, and none is decoded here.
    if (aField == http::field::transfer_encoding &&
        (m_version < kHttpVersion11 || !IsSameHeader(aValue, "chunked"))) {
      aError = http::error::bad_transfer_encoding;
    }
    m_response.m_headers.push_back({ std::string(aName), std::string(aValue) });
    m_headMemory += MemoryOf(std::span(&m_response.m_headers.back(), 1));
  }

  void on_header_impl(beast::error_code& /*aError*/) override
  {
    m_isHeaderRead = true;
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                         beast::error_code& /*aError*/) override
  {
    if (aLength) {
      m_body.Expect(*aLength);
    }
  }

  std::size_t on_body_impl(beast::string_view aBytes,
                           beast::error_code& /*aError*/) override
  {
    m_body.Append({ aBytes.data(), aBytes.size() });
    return aBytes.size();
  }

  void on_chunk_header_impl(std::uint64_t /*aSize*/,
                            beast::string_view /*aExtensions*/,
                            beast::error_code& /*aError*/) override
  {
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*aRemaining*/,
                                 beast::string_view aBytes,
                                 beast::error_code& aError) override
  {
    return on_body_impl(aBytes, aError);
  }

  void on_finish_impl(beast::error_code& /*aError*/) override {}

  int m_version = 0;
  bool m_hasLength = false;
  bool m_isHeaderRead = false;
};

HttpResponseReader::HttpResponseReader()
  : m_buffer(kMaxBufferBytes)
{
}

HttpResponseReader::~HttpResponseReader() = default;

void
HttpResponseReader::Begin(std::uint64_t aMaxBodyBytes, bool aIsToHead)
{
  m_error.clear();
  m_parser = std::make_unique<Parser>();
  m_parser->body_limit(aMaxBodyBytes);
  m_parser->skip(aIsToHead);
  m_parser->eager(true);
}

boost::asio::mutable_buffer
HttpResponseReader::Prepare()
{
  return m_buffer.prepare(BytesToReceive());
}

std::size_t
HttpResponseReader::BytesToReceive() const
{
  const std::size_t spare = m_buffer.capacity() - m_buffer.size();
  return std::min(std::max(spare, kMinReceivedBytes),
                  kMaxBufferBytes - m_buffer.size());
}

bool
HttpResponseReader::IsLengthKnown() const
{
  return m_parser->is_header_done() && m_parser->content_length();
}

std::uint64_t
HttpResponseReader::MemoryAfterReceipt() const
{
  const std::uint64_t received = m_buffer.size() + BytesToReceive();
  const std::uint64_t buffers =
    std::max(received, m_buffer.capacity()) + m_parser->m_headMemory;
  if (!m_parser->is_header_done()) {
    return buffers;
  }
  const auto length = m_parser->content_length();
  return buffers + (length ? *length : m_parser->m_body.MemoryWith(received));
}

HttpResponseProgress
HttpResponseReader::Read()
{
  assert(m_parser && !m_parser->is_done());
  if (!HasUnreadBytes()) {
    return HttpResponseProgress::Incomplete;
  }
  if (!m_parser->is_header_done()) {
    const auto bytes = m_buffer.cdata();
    if (HasFoldedLine(
          { static_cast<const char*>(bytes.data()), bytes.size() })) {
      return Break("folded header line");
    }
  } else if (m_parser->chunked() && m_buffer.size() < kChunksEndBytes) {
    // The parser asserts that it gets the end of the chunks as a whole.
    return HttpResponseProgress::Incomplete;
  }
  return Parse();
}

HttpResponseProgress
HttpResponseReader::Parse()
{
  beast::error_code error;
  m_buffer.consume(m_parser->put(m_buffer.data(), error));
  if (error == http::error::need_more) {
    error = {};
    if (m_buffer.size() >= kMaxBufferBytes) {
      error = http::error::buffer_overflow;
    }
  }
  if (error) {
    return Break(error.message());
  }
  return m_parser->is_done() ? HttpResponseProgress::Complete
                             : HttpResponseProgress::Incomplete;
}

HttpResponseProgress
HttpResponseReader::ReadEnd(HttpConnectionEnd aEnd)
{
  assert(m_parser && !m_parser->is_done());
  const bool isDelimitedByEnd =
    m_parser->is_header_done() && m_parser->need_eof();
  if (!isDelimitedByEnd) {
    return Break(IsStarted() ? "ended early" : "no response");
  }
  if (aEnd == HttpConnectionEnd::Reset) {
    return Break("reset before its end");
  }
  beast::error_code error;
  m_parser->put_eof(error);
  return error ? Break(error.message()) : HttpResponseProgress::Complete;
}

HttpResponseProgress
HttpResponseReader::Break(std::string aError)
{
  m_error = std::move(aError);
  return HttpResponseProgress::Broken;
}

HttpResponse
HttpResponseReader::Take()
{
  HttpResponse response = std::move(m_parser->m_response);
  response.m_body = m_parser->m_body.Take();
  m_parser.reset();
  if (m_buffer.size() == 0 && m_buffer.capacity() > kKeptBufferBytes) {
    m_buffer.shrink_to_fit();
  }
  return response;
}

const HttpResponse&
HttpResponseReader::Response() const
{
  return m_parser->m_response;
}

bool
HttpResponseReader::IsStarted() const
{
  return HasUnreadBytes() || (m_parser && m_parser->got_some());
}

bool
HttpResponseReader::KeepsConnection() const
{
  return m_parser->keep_alive();
}

}
