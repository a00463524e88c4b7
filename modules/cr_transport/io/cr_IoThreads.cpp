#include "cr_transport/io/cr_IoThreads.h"

#include <cassert>
#include <chrono>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "cr_transport/io/cr_ConnectionExecutor.h"

namespace cr {

struct IoThreads::Implementation
{
  explicit Implementation(std::uint32_t aCount)
    : m_count(aCount)
    , m_context(static_cast<int>(aCount))
  {
  }

  const std::uint32_t m_count;
  boost::asio::io_context m_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    m_work{ m_context.get_executor() };
  std::vector<std::jthread> m_threads;
};

IoThreads::IoThreads(std::uint32_t aCount)
  : m_implementation(std::make_unique<Implementation>(aCount))
{
  assert(aCount > 0);
  for (std::uint32_t index = 0; index < aCount; ++index) {
    m_implementation->m_threads.emplace_back(
      [this] { m_implementation->m_context.run(); });
  }
}

IoThreads::~IoThreads()
{
  Stop();
}

void
IoThreads::Post(std::function<void()> aFunction)
{
  boost::asio::post(m_implementation->m_context, std::move(aFunction));
}

TimerHandle
IoThreads::After(Duration aDelay, std::function<void()> aFunction)
{
  struct State
  {
    explicit State(IoThreads& aThreads)
      : m_timer(MakeConnectionExecutor(aThreads))
    {
    }
    boost::asio::steady_timer m_timer;
  };
  auto state = std::make_shared<State>(*this);
  state->m_timer.expires_after(aDelay);
  state->m_timer.async_wait([state, function = std::move(aFunction)](
                              const boost::system::error_code& aError) {
    if (!aError) {
      function();
    }
  });
  return TimerHandle([weak = std::weak_ptr<State>(state)] {
    if (auto strong = weak.lock()) {
      boost::asio::post(strong->m_timer.get_executor(),
                        [strong] { strong->m_timer.cancel(); });
    }
  });
}

void
IoThreads::Stop()
{
  m_implementation->m_work.reset();
  m_implementation->m_context.stop();
  m_implementation->m_threads.clear();
}

Instant
IoThreads::Now()
{
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

WallMilliseconds
IoThreads::WallNow()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

bool
IoThreads::IsSingleThreaded() const
{
  return m_implementation->m_count == 1;
}

boost::asio::io_context&
IoThreads::Context()
{
  return m_implementation->m_context;
}

}
