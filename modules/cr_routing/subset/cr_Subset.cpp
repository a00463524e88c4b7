#include "cr_routing/subset/cr_Subset.h"

#include <algorithm>
#include <array>

namespace cr {

namespace {

/* Places that each distance has for itself; they add up to kSubsetSize. */
constexpr std::array<std::size_t, kDistanceCount> kOwnPlaces = { 10, 7, 3 };

struct Weighed
{
  std::uint64_t m_weight = 0;
  const RouteTarget* m_target = nullptr;
};

using Groups = std::array<std::vector<Weighed>, kDistanceCount>;

Groups
GroupByDistance(std::span<const RouteTarget> aTargets, const RoutePlace& aPlace)
{
  Groups groups;
  const std::uint64_t own = Hash(aPlace.m_host);
  for (const RouteTarget& target : aTargets) {
    groups.at(static_cast<std::size_t>(DistanceOf(target, aPlace)))
      .push_back({ Hash(target.m_host, own), &target });
  }
  for (auto& group : groups) {
    std::sort(group.begin(),
              group.end(),
              [](const Weighed& aFirst, const Weighed& aSecond) {
                return aFirst.m_weight > aSecond.m_weight;
              });
  }
  return groups;
}

}

Distance
DistanceOf(const RouteTarget& aTarget, const RoutePlace& aPlace)
{
  if (aTarget.m_region != aPlace.m_region) {
    return Distance::OtherRegion;
  }
  return aTarget.m_dataCentre == aPlace.m_dataCentre ? Distance::OwnDataCentre
                                                     : Distance::OwnRegion;
}

std::vector<RouteTarget>
ChooseSubset(std::span<const RouteTarget> aTargets, const RoutePlace& aPlace)
{
  const Groups groups = GroupByDistance(aTargets, aPlace);
  std::array<std::size_t, kDistanceCount> taken{};
  std::size_t free = kSubsetSize;
  for (std::size_t index = 0; index < kDistanceCount; ++index) {
    taken.at(index) = std::min(kOwnPlaces.at(index), groups.at(index).size());
    free -= taken.at(index);
  }
  for (std::size_t index = 0; index < kDistanceCount; ++index) {
    const std::size_t more =
      std::min(free, groups.at(index).size() - taken.at(index));
    taken.at(index) += more;
    free -= more;
  }
  std::vector<RouteTarget> subset;
  for (std::size_t index = 0; index < kDistanceCount; ++index) {
    for (std::size_t place = 0; place < taken.at(index); ++place) {
      subset.push_back(*groups.at(index).at(place).m_target);
    }
  }
  return subset;
}

}
