#include "cr_retry/attempts/cr_AttemptTimes.h"

#include <algorithm>
#include <cmath>

namespace cr {

namespace {

/* Fewer attempts than these do not show what is usual. */
constexpr double kMinAttempts = 12;
/* One in 150 attempts takes longer if the times are exponentially distributed.
 */
constexpr double kDeviations = 4;
constexpr Duration kMinSlowTime = Milliseconds(100);

}

void
AttemptTimes::Record(Duration aTime, Instant aNow)
{
  const double seconds = ToSeconds(aTime);
  m_count.Add(1, aNow);
  m_sum.Add(seconds, aNow);
  m_squareSum.Add(seconds * seconds, aNow);
}

std::optional<Duration>
AttemptTimes::SlowAfter(Instant aNow) const
{
  const double count = m_count.Value(aNow);
  if (count < kMinAttempts) {
    return std::nullopt;
  }
  const double mean = m_sum.Value(aNow) / count;
  const double variance =
    std::max(0.0, m_squareSum.Value(aNow) / count - mean * mean);
  return std::max(kMinSlowTime,
                  FromSeconds(mean + kDeviations * std::sqrt(variance)));
}

}
