#pragma once

#include <span>
#include <vector>

#include "cr_routing/router/cr_RouteTarget.h"

namespace cr {

/** Where a target lies, seen from the node that routes; nearest first. */
enum class Distance : std::uint8_t
{
  OwnDataCentre,
  OwnRegion,
  OtherRegion
};

/** Number of distances. */
inline constexpr std::size_t kDistanceCount = 3;

/** Greatest number of hosts of one service that a node keeps. */
inline constexpr std::size_t kSubsetSize = 20;

/** The place of the node that routes. */
struct RoutePlace
{
  HostName m_host;
  std::string m_region;
  std::string m_dataCentre;
};

/** Returns how far the target is. Thread safe. */
Distance
DistanceOf(const RouteTarget& aTarget, const RoutePlace& aPlace);

/** Returns at most kSubsetSize of the targets, nearest first. Half of the
    places go to the own data centre and most of the rest to the own region;
    places that a distance cannot fill pass to the others.

    Within a distance the choice is by rendezvous hashing (Thaler and
    Ravishankar, 1998): it differs between nodes, so that all hosts get callers,
    and a host that comes or goes changes at most one place. Thread safe. */
std::vector<RouteTarget>
ChooseSubset(std::span<const RouteTarget> aTargets, const RoutePlace& aPlace);

}
