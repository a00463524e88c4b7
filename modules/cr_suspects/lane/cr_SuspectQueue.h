#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "cr_core/cr_core.h"
#include "cr_suspects/key/cr_RequestKey.h"

namespace cr {

/** Runs the suspects at one gate one at a time, so that a crash of the server
    identifies the request that caused it, and requests that complete are
    cleared.

    Not thread safe. */
class SuspectQueue
{
public:
  /** Maximum number of waiting suspects. */
  static constexpr std::size_t kWaitingLimit = 256;

  /** Result of adding a suspect. */
  enum class Placement
  {
    RunsNow,
    Queued,
    Full
  };

  //==========================================================================
  /** Adds a suspect. A call of the request that is already running, such as a
      child call, runs now. */
  Placement Add(CallId aCall, const RequestKey& aRequest);

  /** Removes a call that ended or was withdrawn. Returns the call to run next,
      if any. */
  std::optional<CallId> Remove(CallId aCall);

  /** Removes the waiting suspects and returns them. */
  std::vector<CallId> RemoveWaiting();

  //==========================================================================
  /** Returns the waiting calls. */
  std::vector<CallId> Waiting() const;

  /** Returns the running calls. */
  std::vector<CallId> Running() const;

  /** Returns whether the call waits in the queue. */
  bool IsWaiting(CallId aCall) const;

private:
  struct Entry
  {
    CallId m_call{};
    RequestKey m_request;
  };

  std::vector<Entry> m_running;
  std::deque<Entry> m_waiting;
};

}
