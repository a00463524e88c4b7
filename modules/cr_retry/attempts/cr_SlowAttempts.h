#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "cr_admission/cr_admission.h"
#include "cr_retry/attempts/cr_AttemptTimes.h"

namespace cr {

/** Attempts in progress that may be replaced, and the times at which they count
    as slow. A server whose answer is lost, or that is far slower than usual,
    would otherwise hold the caller until its deadline. Not thread safe. */
class SlowAttempts
{
public:
  /** Records an attempt of the route that was answered with success. */
  void RecordTime(const std::string& aRoute, Duration aTime, Instant aNow);

  /** Begins an attempt; it never counts as slow if too little is known of the
      route, or another attempt after it would not end before the deadline.
      Replaces the call's former attempt. */
  void Begin(CallId aCall,
             const std::string& aRoute,
             Instant aDeadline,
             Instant aNow);

  /** Ends the call's attempt, if there is one. */
  void End(CallId aCall);

  /** Returns and ends one attempt that counts as slow now; nothing if there is
      none. */
  std::optional<CallId> TakeSlow(Instant aNow);

  //==========================================================================
  /** Returns when the next attempt counts as slow, if any may. */
  std::optional<Instant> NextWakeup() const;

private:
  std::map<std::string, AttemptTimes, std::less<>> m_times;
  std::unordered_map<CallId, Instant> m_due;
  std::set<std::pair<Instant, CallId>> m_order;
};

}
