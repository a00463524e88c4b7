#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "cr_core/cr_core.h"

namespace cr {

/** Lets the suspects at one gate run one after the other, so that a server that
    dies names the guilty one and those that complete are cleared.

    Not thread safe. */
class SuspectLane
{
public:
  /** Greatest number of suspects that wait; more are not let in. */
  static constexpr std::size_t kWaitingLimit = 256;

  /** What becomes of a suspect that arrives. */
  enum class Entrance
  {
    RunsNow,
    Waits,
    Full
  };

  //==========================================================================
  /** Takes in a suspect. Another call of the request that runs already, as a
      call below it may be, runs now. */
  Entrance Enter(CallId aCall, const RequestId& aRequest);

  /** The call ended or was withdrawn. Returns the call that runs next. */
  std::optional<CallId> Leave(CallId aCall);

  /** Forgets the suspects that wait, and returns them. */
  std::vector<CallId> TakeWaiting();

  //==========================================================================
  /** Returns the calls that were let through and have not left. */
  std::vector<CallId> Running() const;

  /** Returns whether the call waits in the lane. */
  bool Waits(CallId aCall) const;

private:
  struct Entry
  {
    CallId m_call{};
    RequestId m_request;
  };

  std::vector<Entry> m_running;
  std::deque<Entry> m_waiting;
};

}
