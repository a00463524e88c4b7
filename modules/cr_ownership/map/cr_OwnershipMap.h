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

/** Number of partitions that the keys of one service fall into. Fixed for the
    life of a deployment. */
inline constexpr std::size_t kPartitionCount = 64;

/** Greatest number of segments kept for a partition; the oldest are dropped,
    and keys born in them count as unknown from then on. */
inline constexpr std::size_t kSegmentLimit = 8;

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

/** An owner's interval of birth times within a partition: from the begin up to
    but without the end. */
struct Segment
{
  Owner m_owner;
  WallMilliseconds m_begin = 0;
  WallMilliseconds m_end = 0;

  bool operator==(const Segment&) const = default;
};

/** Segments of one partition, oldest first; each begins where the one before it
    ends, so there are neither gaps nor overlaps. */
using Segments = std::vector<Segment>;

/** Who owns the keys of one service: one row of the table service.

    A value; changes are made by PlanOwnership() and take effect only through a
    transaction on the row's version. */
struct OwnershipMap
{
  /** Counts the changes of owners; names the rows of the audit trail. */
  std::uint64_t m_changes = 0;
  std::array<Segments, kPartitionCount> m_partitions;

  bool operator==(const OwnershipMap&) const = default;

  /** Returns the segment that holds the birth time, or null when it lies before
      the segments kept or after the last one. */
  const Segment* Find(std::size_t aPartition, WallMilliseconds aBirth) const;

  /** Returns whether every partition's segments are in order, not empty and
      adjacent. */
  bool IsSound() const;
};

/** A map that several readers share. */
using OwnershipMapPointer = std::shared_ptr<const OwnershipMap>;

/** Row of a service's ownership map. Thread safe. */
RowKey
OwnershipRow(std::string_view aService);

/** Row of the audit trail for a change of owners. The rows of a service form a
    ring, so the trail is bounded. Thread safe. */
RowKey
OwnershipAuditRow(std::string_view aService, std::uint64_t aChange);

/** Writes a map as JSON. Thread safe. */
std::string
EncodeOwnershipMap(const OwnershipMap& aMap);

/** Reads a map; an error when the text is malformed or the map unsound. Thread
    safe. */
Expected<OwnershipMap>
DecodeOwnershipMap(std::string_view aText);

}
