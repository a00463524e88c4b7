#include "cr_ownership/map/cr_Holding.h"

#include <algorithm>

namespace cr {

Holding::Holding(Owner aSelf)
  : m_self(std::move(aSelf))
{
  m_limits.fill(kOpen);
}

void
Holding::Adopt(OwnershipMapPointer aMap, RowVersion aVersion)
{
  if (aVersion <= m_version) {
    return;
  }
  m_map = std::move(aMap);
  m_version = aVersion;
  // The row has moved on, so a conditional write on an older version either is
  // part of this map or can never take effect.
  m_limits.fill(kOpen);
}

HoldingVerdict
Holding::Accept(std::size_t aPartition,
                WallMilliseconds aBirth,
                WallMilliseconds aLatestBirth)
{
  const Segment* segment = m_map ? m_map->Find(aPartition, aBirth) : nullptr;
  if (segment == nullptr || segment->m_owner != m_self ||
      aBirth >= m_limits.at(aPartition)) {
    return HoldingVerdict::NotHeld;
  }
  if (aBirth > aLatestBirth) {
    return HoldingVerdict::TooEarly;
  }
  WallMilliseconds& accepted = m_acceptedEnds.at(aPartition);
  accepted = std::max(accepted, aBirth + 1);
  return HoldingVerdict::Held;
}

std::optional<WallMilliseconds>
Holding::Close(std::size_t aPartition, WallMilliseconds aEnd)
{
  if (!m_map || m_map->m_partitions.at(aPartition).empty()) {
    return std::nullopt;
  }
  const Segment& last = m_map->m_partitions.at(aPartition).back();
  const WallMilliseconds end =
    std::max({ aEnd, m_acceptedEnds.at(aPartition), last.m_begin + 1 });
  if (last.m_owner != m_self || end >= last.m_end) {
    return std::nullopt;
  }
  WallMilliseconds& limit = m_limits.at(aPartition);
  limit = std::min(limit, end);
  return end;
}

}
