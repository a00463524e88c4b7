#include "cr_routing/subset/cr_Subset.h"

#include <algorithm>
#include <array>

namespace cr {

namespace {

/* Targets reserved for each distance; they add up to kSubsetSize. */
constexpr std::array<std::size_t, kDistanceCount> kReservedTargets = { 10,
                                                                       7,
                                                                       3 };

struct WeightedTarget
{
  std::uint64_t m_weight = 0;
  const RouteTarget* m_target = nullptr;
};

using Groups = std::array<std::vector<WeightedTarget>, kDistanceCount>;

Groups
GroupByDistance(std::span<const RouteTarget> aTargets,
                const NodeLocality& aLocality)
{
  Groups groups;
  const std::uint64_t own = Hash(aLocality.m_host);
  for (const RouteTarget& target : aTargets) {
    groups.at(static_cast<std::size_t>(DistanceOf(target, aLocality)))
      .push_back({ Hash(target.m_host, own), &target });
  }
  for (auto& group : groups) {
    std::sort(group.begin(),
              group.end(),
              [](const WeightedTarget& aFirst, const WeightedTarget& aSecond) {
                return aFirst.m_weight > aSecond.m_weight;
              });
  }
  return groups;
}

}

Distance
DistanceOf(const RouteTarget& aTarget, const NodeLocality& aLocality)
{
  if (aTarget.m_region != aLocality.m_region) {
    return Distance::OtherRegion;
  }
  return aTarget.m_dataCentre == aLocality.m_dataCentre
           ? Distance::OwnDataCentre
           : Distance::OwnRegion;
}

std::vector<RouteTarget>
ChooseSubset(std::span<const RouteTarget> aTargets,
             const NodeLocality& aLocality)
{
  const Groups groups = GroupByDistance(aTargets, aLocality);
  std::array<std::size_t, kDistanceCount> counts{};
  std::size_t unfilled = kSubsetSize;
  for (std::size_t index = 0; index < kDistanceCount; ++index) {
    counts.at(index) =
      std::min(kReservedTargets.at(index), groups.at(index).size());
    unfilled -= counts.at(index);
  }
  for (std::size_t index = 0; index < kDistanceCount; ++index) {
    const std::size_t more =
      std::min(unfilled, groups.at(index).size() - counts.at(index));
    counts.at(index) += more;
    unfilled -= more;
  }
  std::vector<RouteTarget> subset;
  for (std::size_t index = 0; index < kDistanceCount; ++index) {
    for (std::size_t position = 0; position < counts.at(index); ++position) {
      subset.push_back(*groups.at(index).at(position).m_target);
    }
  }
  return subset;
}

}
