#pragma once

#include <array>
#include <optional>
#include <unordered_map>

#include "cr_core/cr_core.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** Hash map split into shards, each with its own lock. Thread safe. */
template<typename Key, typename Value>
class ShardedMap
{
public:
  /** Inserts the value, or replaces the existing one of the key. */
  void Put(const Key& aKey, Value aValue)
  {
    Shard(aKey).WithLock(
      [&](auto& aMap) { aMap.insert_or_assign(aKey, std::move(aValue)); });
  }

  /** Replaces the value of an existing key; returns false when there is no such
      key. */
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

  /** Removes and returns the value of the key; nothing when there is no such
      key. */
  std::optional<Value> Extract(const Key& aKey)
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

/** Starts an exchange with the given function and stores it in the map. The
    exchange's callback, or a cancellation, may remove its key before the
    function returns; the exchange is then cancelled. Thread safe. */
template<typename Key, typename Send>
void
TrackExchange(ShardedMap<Key, HttpExchange>& aMap,
              const Key& aKey,
              const Send& aSend)
{
  aMap.Put(aKey, {});
  const HttpExchange exchange = aSend();
  if (!aMap.Replace(aKey, exchange)) {
    exchange.Cancel();
  }
}

}
