#include <atomic>
#include <functional>
#include <thread>

#include <gtest/gtest.h>

#include "cr_transport/cr_transport.h"

namespace cr {

namespace {

TEST(EventLoopProbe, MeasuresHowLateABusyThreadReads)
{
  constexpr int tasks = 40;
  constexpr Duration taskTime = Milliseconds(5);
  IoThreads threads(1);
  std::atomic<bool> isStopped{ false };
  // Tasks that post themselves again let the thread read once a round.
  const std::function<void()> task = [&] {
    std::this_thread::sleep_for(taskTime);
    if (!isStopped) {
      threads.Post(task);
    }
  };
  for (int number = 0; number < tasks; ++number) {
    threads.Post(task);
  }
  EventLoopProbe probe(threads);
  std::atomic<Duration> maxDelay{ Duration::zero() };
  ASSERT_TRUE(probe.Start(Milliseconds(10), [&](Duration aDelay) {
    maxDelay = std::max(maxDelay.load(), aDelay);
  }));
  constexpr Duration expected = taskTime * tasks / 2;
  for (int wait = 0; wait < 500 && maxDelay.load() < expected; ++wait) {
    std::this_thread::sleep_for(Milliseconds(10));
  }
  EXPECT_GE(maxDelay.load(), expected);
  isStopped = true;
  threads.Stop();
}

}

}
