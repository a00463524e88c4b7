#pragma once

#include <array>
#include <cstdint>
#include <mutex>
#include <utility>

namespace cr {

/** A value that is only accessible while its mutex is held.

    These locks must not be nested: a function passed to WithLock() must not
    access another guarded value, to avoid deadlocks. */
template<typename Value>
class Guarded
{
public:
  /** Constructs the value in place from the arguments. */
  template<typename... Arguments>
  explicit Guarded(Arguments&&... aArguments)
    : m_value(std::forward<Arguments>(aArguments)...)
  {
  }

  /** Calls the function with the value while holding the lock. Thread safe. */
  template<typename Function>
  decltype(auto) WithLock(Function&& aFunction)
  {
    const std::lock_guard lock(m_mutex);
    return std::forward<Function>(aFunction)(m_value);
  }

  /** Calls the function with the constant value while holding the lock. Thread
      safe. */
  template<typename Function>
  decltype(auto) WithLock(Function&& aFunction) const
  {
    const std::lock_guard lock(m_mutex);
    return std::forward<Function>(aFunction)(m_value);
  }

private:
  mutable std::mutex m_mutex;
  Value m_value;
};

/** Number of shards, each with its own lock, that hold a node's call state. */
inline constexpr std::size_t kShardCount = 16;

}
