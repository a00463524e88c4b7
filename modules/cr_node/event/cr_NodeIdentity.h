#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cr_core/cr_core.h"
#include "cr_settings/cr_settings.h"

namespace cr {

/** Who a node is; fixed for the life of its process. */
struct NodeIdentity
{
  HostName m_host;
  Incarnation m_incarnation{};
  std::string m_region;
  std::string m_dataCentre;
  /** Where other nodes reach it. */
  Endpoint m_peer;
  /** Seed of its random choices. */
  std::uint64_t m_seed = 0;
  /** Other nodes that may be asked when the table is down at the start. */
  std::vector<Endpoint> m_contacts{};
};

/** The time at which an event is handled. */
struct Moment
{
  Instant m_now;
  /** For rows and reports only. */
  WallMilliseconds m_wall = 0;
};

/** Returns the shard that keeps the state of a request. Thread safe. */
inline std::size_t
ShardOf(const RequestId& aRequest)
{
  return Hash(aRequest.m_high, aRequest.m_low) % kShardCount;
}

/** Builds the identifier of a call that arrives from a customer or from the
    host's own backend server; it names the shard. Thread safe. */
inline CallId
MakeCallId(std::uint64_t aSequence, std::size_t aShard)
{
  return CallId{ aSequence * kShardCount + aShard };
}

/** Returns the shard of a call or an attempt by its identifier's low word.
    Thread safe. */
inline std::size_t
ShardOf(std::uint64_t aLowWord)
{
  return aLowWord % kShardCount;
}

}
