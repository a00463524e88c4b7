#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cr_core/cr_core.h"
#include "cr_settings/cr_settings.h"
#include "cr_store/cr_store.h"

namespace cr {

/** Number of partitions that the keys of a service are hashed into. Must not
    change during the life of a deployment. */
inline constexpr std::size_t kPartitionCount = 64;

/** Max number of segments kept per partition. The oldest are dropped, and calls
    with keys born in them have an unknown outcome from then on. */
inline constexpr std::size_t kMaxSegments = 8;

/** Returns the partition of a key. Thread safe. */
std::size_t
PartitionOf(const IdempotencyKey& aKey);

/** A node incarnation that owns keys. */
struct Owner
{
  HostName m_host;
  Incarnation m_incarnation{};
  Endpoint m_peer;

  auto operator<=>(const Owner&) const = default;
};

/** An owner's interval of birth times within a partition: [m_begin, m_end). */
struct Segment
{
  Owner m_owner;
  WallMilliseconds m_begin = 0;
  WallMilliseconds m_end = 0;

  bool operator==(const Segment&) const = default;
};

/** Segments of one partition, oldest first. Each begins where the previous one
    ends, so there are no gaps or overlaps. */
using Segments = std::vector<Segment>;

/** The owners of the keys of one service, stored as one row of the table
    service.

    A value type. PlanOwnership() makes changes, which take effect only through
    a transaction conditional on the row's version. */
struct OwnershipMap
{
  /** Number of changes of owners; also numbers the rows of the audit trail. */
  std::uint64_t m_changes = 0;
  std::array<Segments, kPartitionCount> m_partitions;

  bool operator==(const OwnershipMap&) const = default;

  /** Returns the segment that contains the birth time, or null when it lies
      before the first or after the last segment. */
  const Segment* Find(std::size_t aPartition, WallMilliseconds aBirth) const;

  /** Returns whether every partition's segments are non-empty, ordered and
      adjacent. */
  bool IsConsistent() const;
};

/** An immutable map shared by several readers. */
using OwnershipMapPointer = std::shared_ptr<const OwnershipMap>;

/** Returns the key of the row that holds a service's ownership map. Thread
    safe. */
RowKey
OwnershipRow(std::string_view aService);

/** Returns the key of the audit trail row for a change of owners. The rows of a
    service are reused in a ring, which bounds the trail. Thread safe. */
RowKey
OwnershipAuditRow(std::string_view aService, std::uint64_t aChange);

/** Encodes a map as JSON. Thread safe. */
std::string
EncodeOwnershipMap(const OwnershipMap& aMap);

/** Decodes a map. Returns an error when the text is malformed or the map
    inconsistent. Thread safe. */
Expected<OwnershipMap>
DecodeOwnershipMap(std::string_view aText);

}
