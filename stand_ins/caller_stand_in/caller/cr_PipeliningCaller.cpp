#include "caller_stand_in/caller/cr_PipeliningCaller.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <fmt/format.h>

namespace cr {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::string_view kHeaderEnd = "\r\n\r\n";

std::string
ToText(const HttpRequest& aRequest)
{
  std::string text =
    fmt::format("{} {} HTTP/1.1\r\n", aRequest.m_method, aRequest.m_target);
  for (const HttpHeader& header : aRequest.m_headers) {
    text += fmt::format("{}: {}\r\n", header.m_name, header.m_value);
  }
  return text + fmt::format("Content-Length: {}{}{}",
                            aRequest.m_body.size(),
                            kHeaderEnd,
                            aRequest.m_body);
}

/* Parses "HTTP/1.1 200 OK" and the header fields after it. */
HttpResponse
ParseHeader(std::string_view aText)
{
  HttpResponse response;
  const std::size_t status = aText.find(' ') + 1;
  response.m_status = ParseNumber<unsigned>(
                        aText.substr(status, aText.find(' ', status) - status))
                        .value_or(0);
  while (true) {
    const std::size_t end = aText.find("\r\n");
    if (end == std::string_view::npos || end + 2 >= aText.size()) {
      return response;
    }
    aText.remove_prefix(end + 2);
    const std::size_t colon = aText.find(": ");
    const std::size_t lineEnd = aText.find("\r\n");
    if (colon < lineEnd) {
      response.m_headers.push_back(
        { std::string(aText.substr(0, colon)),
          std::string(aText.substr(colon + 2, lineEnd - colon - 2)) });
    }
  }
}

class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(IoThreads& aThreads,
             std::span<const HttpRequest> aRequests,
             PipelineCallback aCallback)
    : m_count(aRequests.size())
    , m_callback(std::move(aCallback))
    , m_strand(asio::make_strand(aThreads.Context()))
    , m_socket(m_strand)
    , m_timer(m_strand)
  {
    for (const HttpRequest& request : aRequests) {
      m_text += ToText(request);
    }
  }

  void Start(const Endpoint& aEndpoint, Duration aTimeout)
  {
    m_timer.expires_after(aTimeout);
    m_timer.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError) {
        self->m_isTimedOut = true;
        error_code ignored;
        self->m_socket.close(ignored);
      }
    });
    m_socket.async_connect(
      { asio::ip::make_address(aEndpoint.m_address), aEndpoint.m_port },
      [self = shared_from_this()](error_code aError) {
        if (aError) {
          self->Fail(false);
          return;
        }
        self->Write();
        self->ReadHeader();
      });
  }

private:
  void Write()
  {
    // A connection that ends early shows in what is read.
    asio::async_write(m_socket,
                      asio::buffer(m_text),
                      [self = shared_from_this()](error_code, std::size_t) {});
  }

  void ReadHeader()
  {
    asio::async_read_until(
      m_socket,
      asio::dynamic_buffer(m_received),
      kHeaderEnd,
      [self = shared_from_this()](error_code aError, std::size_t aBytes) {
        if (aError) {
          self->Fail(!self->m_isClosedInOrder);
          return;
        }
        self->ReadBody(aBytes);
      });
  }

  void ReadBody(std::size_t aHeaderBytes)
  {
    HttpResponse response =
      ParseHeader(std::string_view(m_received).substr(0, aHeaderBytes));
    m_received.erase(0, aHeaderBytes);
    const auto length =
      ParseNumber<std::size_t>(FindHeader(response.m_headers, "Content-Length"))
        .value_or(0);
    const std::size_t missing = length - std::min(length, m_received.size());
    asio::async_read(
      m_socket,
      asio::dynamic_buffer(m_received),
      asio::transfer_exactly(missing),
      [self = shared_from_this(), length, response = std::move(response)](
        error_code aError, std::size_t /*aBytes*/) mutable {
        if (aError) {
          self->Fail(true);
          return;
        }
        response.m_body = self->m_received.substr(0, length);
        self->m_received.erase(0, length);
        self->Complete(std::move(response));
      });
  }

  void Complete(HttpResponse&& aResponse)
  {
    m_isClosedInOrder =
      FindHeader(aResponse.m_headers, "Connection") == "close";
    m_callback(m_answered++, HttpResult(std::move(aResponse)));
    if (m_answered == m_count) {
      m_timer.cancel();
      error_code ignored;
      m_socket.close(ignored);
      return;
    }
    ReadHeader();
  }

  void Fail(bool aIsSent)
  {
    m_timer.cancel();
    HttpFailure failure;
    failure.m_text = m_isTimedOut ? "timeout" : "the connection ended";
    failure.m_sent = aIsSent;
    failure.m_timedOut = m_isTimedOut;
    while (m_answered < m_count) {
      m_callback(m_answered++, HttpResult(failure));
    }
  }

  const std::size_t m_count;
  const PipelineCallback m_callback;
  asio::strand<asio::io_context::executor_type> m_strand;
  tcp::socket m_socket;
  asio::steady_timer m_timer;
  std::string m_text;
  std::string m_received;
  std::size_t m_answered = 0;
  bool m_isClosedInOrder = false;
  bool m_isTimedOut = false;
};

}

void
SendPipelined(IoThreads& aThreads,
              const Endpoint& aEndpoint,
              std::span<const HttpRequest> aRequests,
              Duration aTimeout,
              PipelineCallback aCallback)
{
  std::make_shared<Connection>(aThreads, aRequests, std::move(aCallback))
    ->Start(aEndpoint, aTimeout);
}

}
