#include "cr_transport/http/cr_HttpServer.h"

#include <mutex>
#include <unordered_set>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>

#include "cr_transport/http/cr_HttpConnection.h"
#include "cr_transport/http/cr_HttpServerShared.h"
#include "cr_transport/io/cr_ConnectionExecutor.h"

namespace cr {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = boost::asio::ip::tcp;

/* Keeps a flood of new connections from delaying the open ones. */
constexpr int kMaxAcceptedTogether = 32;
constexpr std::uint64_t kDefaultAccountBytes = std::uint64_t{ 256 } << 20U;

}

class HttpServer::Implementation
  : public std::enable_shared_from_this<HttpServer::Implementation>
{
public:
  using ConnectionPointer = std::shared_ptr<HttpConnection>;

  Implementation(IoThreads& aThreads,
                 HttpLimits aLimits,
                 HttpHandler aHandler,
                 HttpOverlapCheck aMayOverlap,
                 HttpServerOptions aOptions)
    : m_threads(aThreads)
    , m_acceptor(MakeConnectionExecutor(aThreads))
  {
    m_shared->m_account =
      aOptions.m_account
        ? std::move(aOptions.m_account)
        : std::make_shared<MemoryAccount>(kDefaultAccountBytes);
    m_shared->m_refusalHeaders = std::move(aOptions.m_refusalHeaders);
    m_shared->m_echoedHeader = std::move(aOptions.m_echoedHeader);
    m_shared->m_limits = aLimits;
    m_shared->m_handler = std::move(aHandler);
    m_shared->m_mayOverlap = std::move(aMayOverlap);
  }

  Expected<Endpoint> Listen(const Endpoint& aEndpoint);
  void Accept();
  void AcceptWaiting();
  void StopAccepting();
  void Close();
  void Add(tcp::socket&& aSocket);
  void Remove(const ConnectionPointer& aConnection);

  const std::shared_ptr<HttpServerShared> m_shared =
    std::make_shared<HttpServerShared>();

private:
  IoThreads& m_threads;
  tcp::acceptor m_acceptor;
  std::mutex m_mutex;
  std::unordered_set<ConnectionPointer> m_connections;
};

Expected<Endpoint>
HttpServer::Implementation::Listen(const Endpoint& aEndpoint)
{
  beast::error_code error;
  const auto address = asio::ip::make_address(aEndpoint.m_address, error);
  if (error) {
    return Failure(ErrorCode::Malformed, "not an IP address");
  }
  const tcp::endpoint endpoint(address, aEndpoint.m_port);
  m_acceptor.open(endpoint.protocol(), error);
  if (!error) {
    m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    m_acceptor.bind(endpoint, error);
  }
  if (!error) {
    m_acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (!error) {
    m_acceptor.non_blocking(true, error);
  }
  if (error) {
    return Failure(ErrorCode::Unavailable,
                   "cannot listen on " + ToText(aEndpoint) + ": " +
                     error.message());
  }
  const std::uint16_t port = m_acceptor.local_endpoint().port();
  asio::dispatch(m_acceptor.get_executor(),
                 [self = shared_from_this()] { self->Accept(); });
  return Endpoint{ aEndpoint.m_address, port };
}

void
HttpServer::Implementation::Accept()
{
  m_acceptor.async_accept(
    MakeConnectionExecutor(m_threads),
    [self = shared_from_this()](beast::error_code aError, tcp::socket aSocket) {
      if (self->m_shared->m_stopping ||
          aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        self->Add(std::move(aSocket));
        self->AcceptWaiting();
      }
      self->Accept();
    });
}

/* An asynchronous accept takes one connection per round of the event loop, and
   a round takes long when many connections are active. */
void
HttpServer::Implementation::AcceptWaiting()
{
  for (int count = 1; count < kMaxAcceptedTogether; ++count) {
    beast::error_code error;
    tcp::socket socket(MakeConnectionExecutor(m_threads));
    m_acceptor.accept(socket, error);
    if (error) {
      // An error other than would_block recurs in the next asynchronous accept.
      return;
    }
    Add(std::move(socket));
  }
}

void
HttpServer::Implementation::Add(tcp::socket&& aSocket)
{
  const auto connection = std::make_shared<HttpConnection>(
    std::move(aSocket),
    m_shared,
    [weak = weak_from_this()](const ConnectionPointer& aConnection) {
      if (const auto self = weak.lock()) {
        self->Remove(aConnection);
      }
    });
  const std::size_t max = m_shared->Limits().m_connections;
  {
    const std::lock_guard lock(m_mutex);
    if (m_connections.size() >= max) {
      return;
    }
    m_connections.insert(connection);
  }
  connection->Start();
}

void
HttpServer::Implementation::Remove(const ConnectionPointer& aConnection)
{
  const std::lock_guard lock(m_mutex);
  m_connections.erase(aConnection);
}

void
HttpServer::Implementation::StopAccepting()
{
  m_shared->m_stopping = true;
  asio::dispatch(m_acceptor.get_executor(), [self = shared_from_this()] {
    beast::error_code ignored;
    self->m_acceptor.close(ignored);
  });
}

void
HttpServer::Implementation::Close()
{
  StopAccepting();
  std::unordered_set<ConnectionPointer> connections;
  {
    const std::lock_guard lock(m_mutex);
    connections.swap(m_connections);
  }
  for (const auto& connection : connections) {
    connection->RequestClose();
  }
}

//==============================================================================
HttpServer::HttpServer(IoThreads& aThreads,
                       HttpLimits aLimits,
                       HttpHandler aHandler,
                       HttpOverlapCheck aMayOverlap,
                       HttpServerOptions aOptions)
  : m_implementation(std::make_shared<Implementation>(aThreads,
                                                      aLimits,
                                                      std::move(aHandler),
                                                      std::move(aMayOverlap),
                                                      std::move(aOptions)))
{
}

HttpServer::~HttpServer()
{
  Close();
}

Expected<Endpoint>
HttpServer::Listen(const Endpoint& aEndpoint)
{
  return m_implementation->Listen(aEndpoint);
}

void
HttpServer::StopAccepting()
{
  m_implementation->StopAccepting();
}

void
HttpServer::Close()
{
  m_implementation->Close();
}

void
HttpServer::SetLimits(const HttpLimits& aLimits)
{
  m_implementation->m_shared->SetLimits(aLimits);
}

void
HttpServer::CloseAfterResponses()
{
  m_implementation->m_shared->m_closesAfterResponses = true;
}

std::size_t
HttpServer::RequestsInProgress() const
{
  return m_implementation->m_shared->m_inProgress;
}

}
