#pragma once

#include <chrono>
#include <cstdint>

namespace cr {

/** Duration in microseconds, the time resolution of the decision modules. */
using Duration = std::chrono::microseconds;

/** Clock type of the decision modules.

    It has no `now()`: the owner of a decision object passes the current time as
    an argument, so the same object runs in real time and in simulated time.
    @see Instant */
struct DecisionClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<DecisionClock, duration>;
  static constexpr bool is_steady = true;
};

/** Point in time on a node's own steady clock. It is meaningless on another
    host, so nodes send each other remaining durations, never instants. */
using Instant = DecisionClock::time_point;

/** Wall-clock time in milliseconds since the Unix epoch. Used only for reports
    and for creation times of idempotency keys; no safety property relies on
    it. */
using WallMilliseconds = std::int64_t;

/** Returns a duration of whole milliseconds. Thread safe. */
constexpr Duration
Milliseconds(std::int64_t aCount)
{
  return std::chrono::milliseconds(aCount);
}

/** Returns a duration of whole seconds. Thread safe. */
constexpr Duration
Seconds(std::int64_t aCount)
{
  return std::chrono::seconds(aCount);
}

/** Returns the duration in milliseconds, rounded towards zero. Thread safe. */
constexpr std::int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

/** Returns the duration in seconds. Thread safe. */
constexpr double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/** Converts seconds to a duration, rounded towards zero. Thread safe. */
constexpr Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

/** Multiplies a duration by a factor, rounded towards zero. Thread safe. */
constexpr Duration
Scale(Duration aDuration, double aFactor)
{
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aDuration.count()) * aFactor));
}

}
