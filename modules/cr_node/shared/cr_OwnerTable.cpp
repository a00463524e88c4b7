#include "cr_node/shared/cr_OwnerTable.h"

#include <algorithm>

namespace cr {

namespace {

constexpr std::size_t kMaxRefreshRequests = 64;

}

OwnerTable::OwnerTable(Owner aSelf)
  : m_state(std::move(aSelf))
{
}

void
OwnerTable::Adopt(const std::string& aService,
                  OwnershipMapPointer aMap,
                  RowVersion aVersion,
                  bool aIsOwn)
{
  m_state.WithLock([&](State& aState) {
    Entry& entry = aState.m_entries[aService];
    if (aVersion > entry.m_version) {
      entry = { aMap, aVersion };
    }
    if (aIsOwn && aState.m_ownService.empty()) {
      aState.m_ownService = aService;
    }
    if (aService == aState.m_ownService) {
      aState.m_localOwnership.UpdateMap(std::move(aMap), aVersion);
    }
  });
}

std::optional<OwnershipPlan>
OwnerTable::Plan(const OwnershipMap& aMap,
                 const OwnershipPlanInput& aInput,
                 const OwnershipTiming& aTiming)
{
  return m_state.WithLock([&](State& aState) {
    return PlanOwnership(aMap, aInput, aTiming, aState.m_localOwnership);
  });
}

OwnershipStatus
OwnerTable::Accept(const std::string& aService,
                   const IdempotencyKey& aKey,
                   WallMilliseconds aLatestBirth)
{
  const auto birth = KeyTimestamp(aKey);
  if (!birth) {
    return OwnershipStatus::NotOwned;
  }
  return m_state.WithLock([&](State& aState) {
    if (aService != aState.m_ownService) {
      return OwnershipStatus::NotOwned;
    }
    return aState.m_localOwnership.Accept(
      PartitionOf(aKey), *birth, aLatestBirth);
  });
}

void
OwnerTable::RequestRefresh(const std::string& aService)
{
  m_state.WithLock([&](State& aState) {
    if (aState.m_refreshRequests.size() < kMaxRefreshRequests) {
      aState.m_refreshRequests.insert(aService);
    }
  });
}

std::set<std::string>
OwnerTable::TakeRefreshRequests()
{
  return m_state.WithLock(
    [](State& aState) { return std::exchange(aState.m_refreshRequests, {}); });
}

std::optional<Owner>
OwnerTable::Find(const std::string& aService, const IdempotencyKey& aKey) const
{
  const OwnershipMapPointer map = MapOf(aService);
  const auto birth = KeyTimestamp(aKey);
  if (!map || !birth) {
    return std::nullopt;
  }
  const std::size_t partition = PartitionOf(aKey);
  const Segment* segment = map->Find(partition, *birth);
  if (segment == nullptr && !map->m_partitions.at(partition).empty() &&
      *birth >= map->m_partitions.at(partition).back().m_end) {
    // The last known owner may have extended its segment since the map was
    // read.
    segment = &map->m_partitions.at(partition).back();
  }
  return segment == nullptr ? std::nullopt : std::optional(segment->m_owner);
}

OwnershipMapPointer
OwnerTable::MapOf(const std::string& aService) const
{
  return m_state.WithLock([&](const State& aState) {
    const auto entry = aState.m_entries.find(aService);
    return entry == aState.m_entries.end() ? nullptr : entry->second.m_map;
  });
}

std::map<std::string, std::size_t>
OwnerTable::OwnedPartitions() const
{
  return m_state.WithLock([](const State& aState) {
    std::map<std::string, std::size_t> owned;
    for (const auto& [service, entry] : aState.m_entries) {
      const auto& partitions = entry.m_map->m_partitions;
      owned[service] = static_cast<std::size_t>(std::count_if(
        partitions.begin(), partitions.end(), [](const Segments& aSegments) {
          return !aSegments.empty();
        }));
    }
    return owned;
  });
}

bool
OwnerTable::HasRefreshRequests() const
{
  return m_state.WithLock(
    [](const State& aState) { return !aState.m_refreshRequests.empty(); });
}

}
