#pragma once

#include <chrono>
#include <cstdint>

namespace cr {

/** Length of time in microseconds, the resolution of every decision. */
using Duration = std::chrono::microseconds;

/** Clock tag of the decision modules.

    It has no `now()`: the owner of a decision object passes the time in, so the
    same object runs in real time and in virtual time. @see Instant */
struct DecisionClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<DecisionClock, duration>;
  static constexpr bool is_steady = true;
};

/** Point in time on a node's own steady clock. It has no meaning on another
    host: remaining durations travel between hosts, never instants. */
using Instant = DecisionClock::time_point;

/** Wall-clock time in milliseconds since the Unix epoch. Used only for reports
    and for birth times of idempotency keys, never for safety. */
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

/** Returns the duration in whole milliseconds, rounded down. Thread safe. */
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

/** Returns a duration of so many seconds, rounded down. Thread safe. */
constexpr Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

/** Returns the duration times the factor, rounded towards zero. Thread safe. */
constexpr Duration
Scale(Duration aDuration, double aFactor)
{
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aDuration.count()) * aFactor));
}

}
