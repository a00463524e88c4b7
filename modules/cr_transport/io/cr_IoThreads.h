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

/** A timer that was started; cancelling has no effect after it fired. */
using TimerHandle = Cancellation;

/** A fixed number of threads that run the connections and timers of a process.

    @see HttpServer, HttpClient */
class IoThreads
{
public:
  /** Starts the threads. Precondition: aCount > 0. */
  explicit IoThreads(std::uint32_t aCount);
  /** Stops and joins the threads; pending work is dropped. */
  ~IoThreads();
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  //==========================================================================
  /** Runs the function soon on one of the threads. Thread safe. */
  void Post(std::function<void()> aFunction);

  /** Runs the function after the delay on one of the threads. Thread safe. */
  TimerHandle After(Duration aDelay, std::function<void()> aFunction);

  /** Stops and joins the threads. Not from one of the threads. */
  void Stop();

  //==========================================================================
  /** Returns the time since the process's steady clock began. Thread safe. */
  static Instant Now();

  /** Returns the wall-clock time. Thread safe. */
  static WallMilliseconds WallNow();

  /** Returns the context that sockets are built on. Thread safe. */
  boost::asio::io_context& Context();

private:
  struct Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}
