#pragma once

#include <array>
#include <optional>
#include <unordered_map>

#include "cr_core/cr_core.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** Calls and attempts that a node has open, in shards, each under its own lock.
    Thread safe. */
template<typename Key, typename Value>
class OpenMap
{
public:
  /** Adds a value, or replaces the one of the key. */
  void Put(const Key& aKey, Value aValue)
  {
    Shard(aKey).WithLock(
      [&](auto& aMap) { aMap.insert_or_assign(aKey, std::move(aValue)); });
  }

  /** Replaces the value of a key that is there; false when it is not. */
  bool Replace(const Key& aKey, Value aValue)
  {
    return Shard(aKey).WithLock([&](auto& aMap) {
      const auto found = aMap.find(aKey);
      if (found == aMap.end()) {
        return false;
      }
      found->second = std::move(aValue);
      return true;
    });
  }

  /** Takes the value of the key out; nothing when it is not there. */
  std::optional<Value> Take(const Key& aKey)
  {
    return Shard(aKey).WithLock([&](auto& aMap) -> std::optional<Value> {
      const auto found = aMap.find(aKey);
      if (found == aMap.end()) {
        return std::nullopt;
      }
      Value value = std::move(found->second);
      aMap.erase(found);
      return value;
    });
  }

private:
  using Map = std::unordered_map<Key, Value>;

  Guarded<Map>& Shard(const Key& aKey)
  {
    return m_shards.at(std::hash<Key>{}(aKey) % kShardCount);
  }

  std::array<Guarded<Map>, kShardCount> m_shards;
};

/** Starts an exchange that its own callback, or a cancellation, may take out of
    the map before the given function returns. Thread safe. */
template<typename Key, typename Send>
void
Track(OpenMap<Key, HttpExchange>& aMap, const Key& aKey, const Send& aSend)
{
  aMap.Put(aKey, {});
  const HttpExchange exchange = aSend();
  if (!aMap.Replace(aKey, exchange)) {
    exchange.Cancel();
  }
}

}
