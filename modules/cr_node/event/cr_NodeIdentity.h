#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cr_core/cr_core.h"
#include "cr_settings/cr_settings.h"

namespace cr {

/** Identity of a node; constant for the lifetime of its process. */
struct NodeIdentity
{
  HostName m_host;
  Incarnation m_incarnation{};
  std::string m_region;
  std::string m_dataCentre;
  /** Address at which other nodes reach this node. */
  Endpoint m_peer;
  /** Seed of the node's random generators. */
  std::uint64_t m_seed = 0;
  /** Other nodes to query at start-up when the table is unavailable. */
  std::vector<Endpoint> m_contacts{};
};

/** The time at which an event is handled. */
struct Moment
{
  Instant m_now;
  /** Wall clock time; for stored rows, key times and reports only. */
  WallMilliseconds m_wall = 0;
};

/** Returns the shard that holds the state of a request. Thread safe. */
inline std::size_t
ShardOf(const RequestId& aRequest)
{
  return Hash(aRequest.m_high, aRequest.m_low) % kShardCount;
}

/** Builds the identifier of a call from a customer or from the host's own
    backend server; the shard is encoded in it. Thread safe. */
inline CallId
MakeCallId(std::uint64_t aSequence, std::size_t aShard)
{
  return CallId{ aSequence * kShardCount + aShard };
}

/** Returns the shard of a call or an attempt from the low word of its
    identifier. Thread safe. */
inline std::size_t
ShardOf(std::uint64_t aLowWord)
{
  return aLowWord % kShardCount;
}

}
