#pragma once

#include <functional>
#include <memory>

#include "cr_transport/io/cr_IoThreads.h"

namespace cr {

/** Measures how late the event loop reads from a descriptor that has become
    readable. A process that is short of processor time reads late, although
    its timers run nearly on time, because expired timers go before descriptors.
    All methods are thread safe. */
class EventLoopProbe
{
public:
  /** Called on an I/O thread with each measured delay. */
  using Callback = std::function<void(Duration)>;

  /** Creates a probe; the threads must outlive it. */
  explicit EventLoopProbe(IoThreads& aThreads);
  /** Stops measuring; a callback may still be running. */
  ~EventLoopProbe();
  EventLoopProbe(const EventLoopProbe&) = delete;
  EventLoopProbe& operator=(const EventLoopProbe&) = delete;

  /** Starts to measure at the interval, or less often while a measurement takes
      longer. Fails if no pipe can be opened. */
  Expected<void> Start(Duration aInterval, Callback aCallback);

private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

}
