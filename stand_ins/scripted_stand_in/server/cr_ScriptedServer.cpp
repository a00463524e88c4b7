#include "scripted_stand_in/server/cr_ScriptedServer.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "cr_core/cr_core.h"

namespace cr {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using AsioErrorCode = boost::system::error_code;

ScriptedHandler
AnswerInTurn(std::vector<std::string> aTexts, ConnectionEnding aEnding)
{
  return [texts = std::move(aTexts), aEnding](const ScriptedRequest& aRequest) {
    ScriptedAnswer answer;
    answer.m_bytes = texts.at(aRequest.m_earlier);
    if (aRequest.m_earlier + 1 == texts.size()) {
      answer.m_ending = aEnding;
    }
    return answer;
  };
}

}

std::string_view
FindField(const ScriptedRequest& aRequest, std::string_view aName)
{
  const std::string_view head = aRequest.m_head;
  const std::string field = "\r\n" + std::string(aName) + ": ";
  const std::size_t place = head.find(field);
  if (place == std::string_view::npos) {
    return {};
  }
  const std::size_t start = place + field.size();
  return head.substr(start, head.find("\r\n", start) - start);
}

class ScriptedServer::Implementation
{
public:
  Implementation(ScriptedHandler aHandler, ScriptedServerSettings aSettings)
    : m_handler(std::move(aHandler))
    , m_settings(std::move(aSettings))
    , m_acceptor(m_context,
                 { asio::ip::make_address(m_settings.m_endpoint.m_address),
                   m_settings.m_endpoint.m_port })
    , m_accepting([this] { Accept(); })
  {
  }

  ~Implementation()
  {
    m_isStopping = true;
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_accepting.join();
    for (const auto& connection : m_open) {
      const std::lock_guard lock(m_closing);
      if (connection->m_socket.is_open()) {
        ::shutdown(connection->m_socket.native_handle(), SHUT_RDWR);
      }
    }
    for (const auto& connection : m_open) {
      connection->m_thread.join();
    }
  }

  Endpoint Address() const
  {
    return { m_settings.m_endpoint.m_address,
             m_acceptor.local_endpoint().port() };
  }

  std::atomic<std::size_t> m_connections{ 0 };
  std::atomic<std::size_t> m_answers{ 0 };

private:
  struct Connection
  {
    explicit Connection(asio::io_context& aContext)
      : m_socket(aContext)
    {
    }

    tcp::socket m_socket;
    std::thread m_thread;
    std::atomic<bool> m_isEnded{ false };
  };

  void Accept()
  {
    while (true) {
      AsioErrorCode error;
      auto connection = std::make_unique<Connection>(m_context);
      m_acceptor.accept(connection->m_socket, error);
      if (error || m_isStopping) {
        return;
      }
      const std::size_t number = ++m_connections;
      connection->m_socket.set_option(tcp::no_delay(true), error);
      JoinEnded();
      connection->m_thread =
        std::thread([this, number, served = connection.get()] {
          Serve(served->m_socket, number);
          served->m_isEnded = true;
        });
      m_open.push_back(std::move(connection));
    }
  }

  /* ThreadSanitizer keeps memory for each thread until it is joined. */
  void JoinEnded()
  {
    std::erase_if(m_open, [](const auto& aConnection) {
      if (!aConnection->m_isEnded) {
        return false;
      }
      aConnection->m_thread.join();
      return true;
    });
  }

  void Serve(tcp::socket& aSocket, std::size_t aConnection)
  {
    std::string received;
    AsioErrorCode error;
    std::size_t unread = 0;
    for (std::size_t earlier = 0; !error; ++earlier) {
      Discard(aSocket, received, unread, error);
      ScriptedRequest request;
      request.m_earlier = earlier;
      request.m_connection = aConnection;
      const std::size_t size = asio::read_until(
        aSocket, asio::dynamic_buffer(received), "\r\n\r\n", error);
      if (error) {
        break;
      }
      request.m_head = received.substr(0, size);
      received.erase(0, size);
      const std::size_t length =
        ParseNumber<std::size_t>(FindField(request, "Content-Length"))
          .value_or(0);
      unread = std::min(length, m_settings.m_unreadBytes);
      ReadExactly(aSocket, received, length - unread, error);
      if (error) {
        break;
      }
      request.m_body = received.substr(0, length - unread);
      received.erase(0, length - unread);
      const ScriptedAnswer answer = m_handler(request);
      Write(aSocket, answer, error);
      std::this_thread::sleep_for(answer.m_pause);
      if (!error) {
        End(aSocket, answer.m_ending, error);
      }
    }
    Close(aSocket);
  }

  /* Reads until the text has at least the given size. */
  static void ReadExactly(tcp::socket& aSocket,
                          std::string& aReceived,
                          std::size_t aBytes,
                          AsioErrorCode& aError)
  {
    if (aReceived.size() < aBytes) {
      asio::read(aSocket,
                 asio::dynamic_buffer(aReceived),
                 asio::transfer_exactly(aBytes - aReceived.size()),
                 aError);
    }
  }

  static void Discard(tcp::socket& aSocket,
                      std::string& aReceived,
                      std::size_t aBytes,
                      AsioErrorCode& aError)
  {
    ReadExactly(aSocket, aReceived, aBytes, aError);
    if (!aError) {
      aReceived.erase(0, aBytes);
    }
  }

  static void Write(tcp::socket& aSocket,
                    const ScriptedAnswer& aAnswer,
                    AsioErrorCode& aError)
  {
    const std::size_t size = aAnswer.m_bytes.size();
    const std::size_t piece =
      aAnswer.m_pieceBytes == 0 ? size : aAnswer.m_pieceBytes;
    for (std::size_t start = 0; start < size && !aError; start += piece) {
      asio::write(aSocket,
                  asio::buffer(aAnswer.m_bytes.data() + start,
                               std::min(piece, size - start)),
                  aError);
    }
  }

  /* Sets an error when the connection is at its end. */
  void End(tcp::socket& aSocket,
           ConnectionEnding aEnding,
           AsioErrorCode& aError)
  {
    if (aEnding == ConnectionEnding::Finish ||
        aEnding == ConnectionEnding::FinishThenReset) {
      aSocket.shutdown(tcp::socket::shutdown_send, aError);
    }
    if (aEnding == ConnectionEnding::Reset ||
        aEnding == ConnectionEnding::FinishThenReset) {
      aSocket.set_option(asio::socket_base::linger(true, 0), aError);
      Close(aSocket);
    }
    ++m_answers;
    if (aEnding == ConnectionEnding::Finish) {
      constexpr std::size_t blockBytes = 65536;
      std::string block(blockBytes, '\0');
      while (!aError) {
        aSocket.read_some(asio::buffer(block), aError);
      }
    } else if (aEnding != ConnectionEnding::Keep) {
      aError = asio::error::eof;
    }
  }

  void Close(tcp::socket& aSocket)
  {
    const std::lock_guard lock(m_closing);
    AsioErrorCode ignored;
    aSocket.close(ignored);
  }

  const ScriptedHandler m_handler;
  const ScriptedServerSettings m_settings;
  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::atomic<bool> m_isStopping{ false };
  /* Held while a socket is closed, or looked at by another thread. */
  std::mutex m_closing;
  /* Used by the accepting thread, and by the destructor after it has ended. */
  std::vector<std::unique_ptr<Connection>> m_open;
  std::thread m_accepting;
};

ScriptedServer::ScriptedServer(ScriptedHandler aHandler,
                               ScriptedServerSettings aSettings)
  : m_implementation(std::make_unique<Implementation>(std::move(aHandler),
                                                      std::move(aSettings)))
{
}

ScriptedServer::ScriptedServer(std::vector<std::string> aTexts,
                               ConnectionEnding aEnding,
                               ScriptedServerSettings aSettings)
  : ScriptedServer(AnswerInTurn(std::move(aTexts), aEnding),
                   std::move(aSettings))
{
}

ScriptedServer::~ScriptedServer() = default;

Endpoint
ScriptedServer::Address() const
{
  return m_implementation->Address();
}

std::size_t
ScriptedServer::Connections() const
{
  return m_implementation->m_connections;
}

std::size_t
ScriptedServer::Answers() const
{
  return m_implementation->m_answers;
}

}
