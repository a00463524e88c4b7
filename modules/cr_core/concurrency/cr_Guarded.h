#pragma once

#include <array>
#include <cstdint>
#include <mutex>
#include <utility>

namespace cr {

/** A value that can only be reached under its own lock.

    Locks of this type are never nested: a function given to With() must not
    reach another guarded value. */
template<typename Value>
class Guarded
{
public:
  /** Builds the value in place. */
  template<typename... Arguments>
  explicit Guarded(Arguments&&... aArguments)
    : m_value(std::forward<Arguments>(aArguments)...)
  {
  }

  /** Calls the function with the value while holding the lock. Thread safe. */
  template<typename Function>
  decltype(auto) With(Function&& aFunction)
  {
    const std::lock_guard lock(m_mutex);
    return std::forward<Function>(aFunction)(m_value);
  }

  /** Calls the function with the constant value while holding the lock. Thread
      safe. */
  template<typename Function>
  decltype(auto) With(Function&& aFunction) const
  {
    const std::lock_guard lock(m_mutex);
    return std::forward<Function>(aFunction)(m_value);
  }

private:
  mutable std::mutex m_mutex;
  Value m_value;
};

/** Number of shards a node splits its call state into. */
inline constexpr std::size_t kShardCount = 16;

}
