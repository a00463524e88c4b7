#include "cr_ownership/map/cr_LocalOwnership.h"

#include <algorithm>

namespace cr {

LocalOwnership::LocalOwnership(Owner aSelf)
  : m_self(std::move(aSelf))
{
  m_pendingEnds.fill(kUnlimited);
}

void
LocalOwnership::UpdateMap(OwnershipMapPointer aMap, RowVersion aVersion)
{
  if (aVersion <= m_version) {
    return;
  }
  m_map = std::move(aMap);
  m_version = aVersion;
  // Every conditional write on an older row version is now either part of this
  // map or can no longer commit, so no pending end remains.
  m_pendingEnds.fill(kUnlimited);
}

OwnershipStatus
LocalOwnership::Accept(std::size_t aPartition,
                       WallMilliseconds aBirth,
                       WallMilliseconds aLatestBirth)
{
  const Segment* segment = m_map ? m_map->Find(aPartition, aBirth) : nullptr;
  if (segment == nullptr || segment->m_owner != m_self ||
      aBirth >= m_pendingEnds.at(aPartition)) {
    return OwnershipStatus::NotOwned;
  }
  if (aBirth > aLatestBirth) {
    return OwnershipStatus::TooEarly;
  }
  WallMilliseconds& accepted = m_acceptedEnds.at(aPartition);
  accepted = std::max(accepted, aBirth + 1);
  return OwnershipStatus::Owned;
}

std::optional<WallMilliseconds>
LocalOwnership::ReduceEnd(std::size_t aPartition, WallMilliseconds aEnd)
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
  WallMilliseconds& pendingEnd = m_pendingEnds.at(aPartition);
  pendingEnd = std::min(pendingEnd, end);
  return end;
}

}
