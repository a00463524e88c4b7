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
using ErrorCodeOfAsio = boost::system::error_code;

constexpr std::size_t kChunkBytes = 16384;

tcp::endpoint
ToAsio(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.m_address), aEndpoint.m_port };
}

/* Both sides of one connection, on one strand. */
class Pair : public std::enable_shared_from_this<Pair>
{
public:
  Pair(tcp::socket aCaller, const asio::any_io_executor& aStrand)
    : m_caller(std::move(aCaller))
    , m_target(aStrand)
  {
  }

  void Start(const Endpoint& aTarget)
  {
    m_target.async_connect(
      ToAsio(aTarget),
      [self = shared_from_this()](const ErrorCodeOfAsio& aError) {
        if (aError) {
          self->Close();
          return;
        }
        self->Pump(self->m_caller, self->m_target, self->m_up);
        self->Pump(self->m_target, self->m_caller, self->m_down);
      });
  }

  void Freeze() { m_frozen = true; }

private:
  using Buffer = std::array<char, kChunkBytes>;

  void Pump(tcp::socket& aFrom, tcp::socket& aTo, Buffer& aBuffer)
  {
    aFrom.async_read_some(asio::buffer(aBuffer),
                          [self = shared_from_this(), &aFrom, &aTo, &aBuffer](
                            const ErrorCodeOfAsio& aError, std::size_t aBytes) {
                            self->PassOn(aFrom, aTo, aBuffer, aError, aBytes);
                          });
  }

  void PassOn(tcp::socket& aFrom,
              tcp::socket& aTo,
              Buffer& aBuffer,
              const ErrorCodeOfAsio& aError,
              std::size_t aBytes)
  {
    if (aError) {
      if (!m_frozen) {
        Close();
      }
      return;
    }
    if (m_frozen) {
      Pump(aFrom, aTo, aBuffer);
      return;
    }
    asio::async_write(aTo,
                      asio::buffer(aBuffer.data(), aBytes),
                      [self = shared_from_this(), &aFrom, &aTo, &aBuffer](
                        const ErrorCodeOfAsio& aWriteError, std::size_t) {
                        if (!aWriteError) {
                          self->Pump(aFrom, aTo, aBuffer);
                        }
                      });
  }

  void Close()
  {
    ErrorCodeOfAsio ignored;
    m_caller.close(ignored);
    m_target.close(ignored);
  }

  tcp::socket m_caller;
  tcp::socket m_target;
  Buffer m_up{};
  Buffer m_down{};
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
    ErrorCodeOfAsio error;
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
      [self = shared_from_this(), strand](const ErrorCodeOfAsio& aError,
                                          tcp::socket aSocket) {
        if (aError) {
          return;
        }
        const auto pair = std::make_shared<Pair>(std::move(aSocket), strand);
        self->m_pairs.WithLock([&](auto& aPairs) { aPairs.push_back(pair); });
        pair->Start(self->m_target);
        self->Accept();
      });
  }

  void Close()
  {
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
      ErrorCodeOfAsio ignored;
      self->m_acceptor.close(ignored);
    });
  }

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
  const Endpoint m_target;
  Guarded<std::vector<std::shared_ptr<Pair>>> m_pairs;
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
  m_implementation->m_pairs.WithLock([](auto& aPairs) {
    for (const auto& pair : aPairs) {
      pair->Freeze();
    }
  });
}

std::size_t
FreezingRelay::Accepted() const
{
  return m_implementation->m_pairs.WithLock(
    [](const auto& aPairs) { return aPairs.size(); });
}

}
