#include "cr_transport/io/cr_EventLoopProbe.h"

#include <array>

#include <boost/asio/connect_pipe.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/readable_pipe.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/writable_pipe.hpp>

#include "cr_transport/io/cr_ConnectionExecutor.h"

namespace cr {

namespace {

namespace asio = boost::asio;

}

class EventLoopProbe::Implementation
  : public std::enable_shared_from_this<Implementation>
{
public:
  explicit Implementation(IoThreads& aThreads)
    : m_executor(MakeConnectionExecutor(aThreads))
    , m_timer(m_executor)
    , m_readEnd(m_executor)
    , m_writeEnd(m_executor)
  {
  }

  Expected<void> Start(Duration aInterval, Callback aCallback)
  {
    boost::system::error_code error;
    asio::connect_pipe(m_readEnd, m_writeEnd, error);
    if (error) {
      return Failure(ErrorCode::Unavailable,
                     "cannot open a pipe: " + error.message());
    }
    m_interval = aInterval;
    m_callback = std::move(aCallback);
    asio::dispatch(m_executor,
                   [self = shared_from_this()] { self->ScheduleWrite(); });
    return {};
  }

  void Stop()
  {
    asio::dispatch(m_executor, [self = shared_from_this()] {
      boost::system::error_code ignored;
      self->m_isStopped = true;
      self->m_timer.cancel();
      self->m_readEnd.close(ignored);
      self->m_writeEnd.close(ignored);
    });
  }

private:
  void ScheduleWrite()
  {
    m_timer.expires_after(m_interval);
    m_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& aError) {
        if (!aError && !self->m_isStopped) {
          self->WriteAndRead();
        }
      });
  }

  /* Reads before it writes, so that the read completes through the reactor. */
  void WriteAndRead()
  {
    m_readEnd.async_read_some(
      asio::buffer(m_byte),
      [self = shared_from_this(), written = IoThreads::Now()](
        const boost::system::error_code& aError, std::size_t /*aBytes*/) {
        if (aError || self->m_isStopped) {
          return;
        }
        self->m_callback(IoThreads::Now() - written);
        self->ScheduleWrite();
      });
    // An empty pipe accepts a byte.
    boost::system::error_code ignored;
    m_writeEnd.write_some(asio::buffer("x", 1), ignored);
  }

  asio::any_io_executor m_executor;
  asio::steady_timer m_timer;
  asio::readable_pipe m_readEnd;
  asio::writable_pipe m_writeEnd;
  std::array<char, 1> m_byte{};
  Duration m_interval = Duration::zero();
  Callback m_callback;
  bool m_isStopped = false;
};

EventLoopProbe::EventLoopProbe(IoThreads& aThreads)
  : m_implementation(std::make_shared<Implementation>(aThreads))
{
}

EventLoopProbe::~EventLoopProbe()
{
  m_implementation->Stop();
}

Expected<void>
EventLoopProbe::Start(Duration aInterval, Callback aCallback)
{
  return m_implementation->Start(aInterval, std::move(aCallback));
}

}
