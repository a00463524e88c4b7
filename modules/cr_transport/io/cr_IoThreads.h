#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "cr_core/cr_core.h"
#include "cr_transport/io/cr_Cancellation.h"

namespace boost::asio {
class io_context;
}

namespace cr {

/** Handle of a running timer; cancelling has no effect after it fired. */
using TimerHandle = Cancellation;

/** Fixed-size thread pool that runs the connections and timers of a process.

    @see HttpServer, HttpClient */
class IoThreads
{
public:
  /** Starts the threads. Precondition: aCount > 0. */
  explicit IoThreads(std::uint32_t aCount);
  /** Stops and joins the threads; pending work is discarded. */
  ~IoThreads();
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  //==========================================================================
  /** Queues the function to run on one of the threads. Thread safe. */
  void Post(std::function<void()> aFunction);

  /** Runs the function after the delay on one of the threads. Thread safe. */
  TimerHandle After(Duration aDelay, std::function<void()> aFunction);

  /** Stops and joins the threads. Must not be called from one of them. */
  void Stop();

  //==========================================================================
  /** Returns the time of the steady clock. Thread safe. */
  static Instant Now();

  /** Returns the wall-clock time. Thread safe. */
  static WallMilliseconds WallNow();

  /** Returns whether there is one thread only. Thread safe. */
  bool IsSingleThreaded() const;

  /** Returns the context in which sockets and timers run. Thread safe. */
  boost::asio::io_context& Context();

private:
  struct Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}
