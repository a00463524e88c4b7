#include "crowd_stand_in/crowd/cr_Crowd.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <fmt/format.h>

namespace cr {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using AsioErrorCode = boost::system::error_code;

constexpr int kReceiveBufferBytes = 4096;

struct Counters
{
  std::atomic<std::size_t> m_opened{ 0 };
  std::atomic<std::size_t> m_ended{ 0 };
  std::atomic<std::size_t> m_sent{ 0 };
  std::atomic<std::uint64_t> m_sentBytes{ 0 };
  std::atomic<std::uint64_t> m_readBytes{ 0 };
};

/* One client. Its methods run on the thread of the crowd. */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(asio::io_context& aContext,
             Counters& aCounters,
             CrowdClient aClient,
             std::size_t aNumber)
    : m_counters(aCounters)
    , m_client(std::move(aClient))
    , m_socket(aContext)
    , m_sendTimer(aContext)
    , m_readTimer(aContext)
    , m_head(fmt::format("{}{:032x}", m_client.m_start, aNumber))
    , m_received(m_client.m_readBytes, '\0')
  {
  }

  void Connect(const tcp::endpoint& aEndpoint)
  {
    AsioErrorCode ignored;
    m_socket.open(aEndpoint.protocol(), ignored);
    if (m_client.m_hasSmallBuffer) {
      m_socket.set_option(
        asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
    }
    m_socket.async_connect(
      aEndpoint, [self = shared_from_this()](const AsioErrorCode& aError) {
        if (aError) {
          self->End();
          return;
        }
        ++self->m_counters.m_opened;
        self->SendHead();
        self->Read();
      });
  }

private:
  void SendHead()
  {
    asio::async_write(m_socket,
                      asio::buffer(m_head),
                      [self = shared_from_this()](const AsioErrorCode& aError,
                                                  std::size_t /*aBytes*/) {
                        if (aError) {
                          self->End();
                        } else {
                          self->Send();
                        }
                      });
  }

  void Send()
  {
    const std::size_t left = m_client.m_bytes->size() - m_sent;
    if (left == 0) {
      ++m_counters.m_sent;
      return;
    }
    const std::size_t size =
      m_client.m_pieceBytes == 0 ? left : std::min(left, m_client.m_pieceBytes);
    m_socket.async_write_some(
      asio::buffer(m_client.m_bytes->data() + m_sent, size),
      [self = shared_from_this()](const AsioErrorCode& aError,
                                  std::size_t aBytes) {
        self->m_sent += aBytes;
        self->m_counters.m_sentBytes += aBytes;
        if (aError) {
          self->End();
        } else {
          self->After(self->m_sendTimer,
                      self->m_client.m_pieceBytes != 0,
                      &Connection::Send);
        }
      });
  }

  void Read()
  {
    if (m_received.empty()) {
      return;
    }
    m_socket.async_read_some(
      asio::buffer(m_received),
      [self = shared_from_this()](const AsioErrorCode& aError,
                                  std::size_t aBytes) {
        self->m_counters.m_readBytes += aBytes;
        if (aError) {
          self->End();
        } else {
          self->After(self->m_readTimer, true, &Connection::Read);
        }
      });
  }

  void After(asio::steady_timer& aTimer,
             bool aPauses,
             void (Connection::*aFunction)())
  {
    if (!aPauses || m_client.m_pause == Duration::zero()) {
      (this->*aFunction)();
      return;
    }
    aTimer.expires_after(m_client.m_pause);
    aTimer.async_wait(
      [self = shared_from_this(), aFunction](const AsioErrorCode& aError) {
        if (!aError && !self->m_hasEnded) {
          (self.get()->*aFunction)();
        }
      });
  }

  void End()
  {
    if (!std::exchange(m_hasEnded, true)) {
      ++m_counters.m_ended;
      AsioErrorCode ignored;
      m_socket.close(ignored);
    }
  }

  Counters& m_counters;
  const CrowdClient m_client;
  tcp::socket m_socket;
  asio::steady_timer m_sendTimer;
  asio::steady_timer m_readTimer;
  const std::string m_head;
  std::string m_received;
  std::size_t m_sent = 0;
  bool m_hasEnded = false;
};

}

class Crowd::Implementation
{
public:
  explicit Implementation(const Endpoint& aEndpoint)
    : m_endpoint(asio::ip::make_address(aEndpoint.m_address), aEndpoint.m_port)
  {
    m_context.emplace();
    m_thread = std::thread([this] {
      const auto guard = asio::make_work_guard(*m_context);
      m_context->run();
    });
  }

  ~Implementation() { Leave(); }

  void Add(const CrowdClient& aClient, std::size_t aCount, Duration aInterval)
  {
    const std::lock_guard lock(m_leaving);
    if (m_context) {
      asio::post(*m_context, [this, aClient, aCount, aInterval] {
        Connect(aClient, aCount, aInterval);
      });
    }
  }

  void Leave()
  {
    const std::lock_guard lock(m_leaving);
    if (m_context) {
      m_context->stop();
      m_thread.join();
      // The pending operations own the connections.
      m_context.reset();
    }
  }

  Counters m_counters;

private:
  void Connect(const CrowdClient& aClient,
               std::size_t aCount,
               Duration aInterval)
  {
    const std::size_t now = aInterval == Duration::zero() ? aCount : 1;
    for (std::size_t number = 0; number < now; ++number) {
      std::make_shared<Connection>(
        *m_context, m_counters, aClient, ++m_connections)
        ->Connect(m_endpoint);
    }
    if (now >= aCount) {
      return;
    }
    const auto timer =
      std::make_shared<asio::steady_timer>(*m_context, aInterval);
    timer->async_wait(
      [this, timer, aClient, aCount, aInterval](const AsioErrorCode& aError) {
        if (!aError) {
          Connect(aClient, aCount - 1, aInterval);
        }
      });
  }

  const tcp::endpoint m_endpoint;
  std::mutex m_leaving;
  std::optional<asio::io_context> m_context;
  /* Used on the thread only. */
  std::size_t m_connections = 0;
  std::thread m_thread;
};

Crowd::Crowd(const Endpoint& aEndpoint)
  : m_implementation(std::make_unique<Implementation>(aEndpoint))
{
}

Crowd::~Crowd() = default;

void
Crowd::Add(const CrowdClient& aClient, std::size_t aCount, Duration aInterval)
{
  m_implementation->Add(aClient, aCount, aInterval);
}

void
Crowd::Leave()
{
  m_implementation->Leave();
}

CrowdProgress
Crowd::Progress() const
{
  const Counters& counters = m_implementation->m_counters;
  return { counters.m_opened,
           counters.m_ended,
           counters.m_sent,
           counters.m_sentBytes,
           counters.m_readBytes };
}

}
