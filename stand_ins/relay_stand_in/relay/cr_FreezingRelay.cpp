#include "relay_stand_in/relay/cr_FreezingRelay.h"

#include <array>
#include <atomic>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

namespace cr {

namespace {

namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;
using AsioErrorCode = boost::system::error_code;

constexpr std::size_t kChunkBytes = 16384;

tcp::endpoint
ToAsio(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.m_address), aEndpoint.m_port };
}

/* Sockets to the caller and to the target of one connection, on one strand. */
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection>
{
public:
  ProxiedConnection(tcp::socket aCaller, const asio::any_io_executor& aStrand)
    : m_caller(std::move(aCaller))
    , m_target(aStrand)
  {
  }

  void Start(const Endpoint& aTarget)
  {
    m_target.async_connect(
      ToAsio(aTarget),
      [self = shared_from_this()](const AsioErrorCode& aError) {
        if (aError) {
          self->Close();
          return;
        }
        self->ReadNext(self->m_caller, self->m_target, self->m_toTargetBuffer);
        self->ReadNext(self->m_target, self->m_caller, self->m_toCallerBuffer);
      });
  }

  void Freeze() { m_frozen = true; }

private:
  using Buffer = std::array<char, kChunkBytes>;

  void ReadNext(tcp::socket& aFrom, tcp::socket& aTo, Buffer& aBuffer)
  {
    aFrom.async_read_some(asio::buffer(aBuffer),
                          [self = shared_from_this(), &aFrom, &aTo, &aBuffer](
                            const AsioErrorCode& aError, std::size_t aBytes) {
                            self->OnRead(aFrom, aTo, aBuffer, aError, aBytes);
                          });
  }

  void OnRead(tcp::socket& aFrom,
              tcp::socket& aTo,
              Buffer& aBuffer,
              const AsioErrorCode& aError,
              std::size_t aBytes)
  {
    if (aError) {
      if (!m_frozen) {
        Close();
      }
      return;
    }
    if (m_frozen) {
      ReadNext(aFrom, aTo, aBuffer);
      return;
    }
    asio::async_write(aTo,
                      asio::buffer(aBuffer.data(), aBytes),
                      [self = shared_from_this(), &aFrom, &aTo, &aBuffer](
                        const AsioErrorCode& aWriteError, std::size_t) {
                        if (!aWriteError) {
                          self->ReadNext(aFrom, aTo, aBuffer);
                        }
                      });
  }

  void Close()
  {
    AsioErrorCode ignored;
    m_caller.close(ignored);
    m_target.close(ignored);
  }

  tcp::socket m_caller;
  tcp::socket m_target;
  Buffer m_toTargetBuffer{};
  Buffer m_toCallerBuffer{};
  std::atomic<bool> m_frozen{ false };
};

}

class FreezingRelay::Implementation
  : public std::enable_shared_from_this<FreezingRelay::Implementation>
{
public:
  Implementation(IoThreads& aThreads, Endpoint aTarget)
    : m_context(aThreads.Context())
    , m_acceptor(asio::make_strand(m_context))
    , m_target(std::move(aTarget))
  {
  }

  Expected<Endpoint> Listen(const Endpoint& aEndpoint)
  {
    AsioErrorCode error;
    const tcp::endpoint endpoint = ToAsio(aEndpoint);
    m_acceptor.open(endpoint.protocol(), error);
    m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    m_acceptor.bind(endpoint, error);
    if (!error) {
      m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return Failure(ErrorCode::Unavailable, error.message());
    }
    const std::uint16_t port = m_acceptor.local_endpoint().port();
    Accept();
    return Endpoint{ aEndpoint.m_address, port };
  }

  void Accept()
  {
    auto strand = asio::make_strand(m_context);
    m_acceptor.async_accept(
      strand,
      [self = shared_from_this(), strand](const AsioErrorCode& aError,
                                          tcp::socket aSocket) {
        if (aError) {
          return;
        }
        const auto connection =
          std::make_shared<ProxiedConnection>(std::move(aSocket), strand);
        self->m_connections.WithLock(
          [&](auto& aConnections) { aConnections.push_back(connection); });
        connection->Start(self->m_target);
        self->Accept();
      });
  }

  void Close()
  {
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
      AsioErrorCode ignored;
      self->m_acceptor.close(ignored);
    });
  }

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
  const Endpoint m_target;
  Guarded<std::vector<std::shared_ptr<ProxiedConnection>>> m_connections;
};

FreezingRelay::FreezingRelay(IoThreads& aThreads, Endpoint aTarget)
  : m_implementation(
      std::make_shared<Implementation>(aThreads, std::move(aTarget)))
{
}

FreezingRelay::~FreezingRelay()
{
  m_implementation->Close();
}

Expected<Endpoint>
FreezingRelay::Listen(const Endpoint& aEndpoint)
{
  return m_implementation->Listen(aEndpoint);
}

void
FreezingRelay::Freeze()
{
  m_implementation->m_connections.WithLock([](auto& aConnections) {
    for (const auto& connection : aConnections) {
      connection->Freeze();
    }
  });
}

std::size_t
FreezingRelay::AcceptedConnections() const
{
  return m_implementation->m_connections.WithLock(
    [](const auto& aConnections) { return aConnections.size(); });
}

}
