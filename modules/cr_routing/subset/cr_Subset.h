#pragma once

#include <span>
#include <vector>

#include "cr_routing/router/cr_RouteTarget.h"

namespace cr {

/** Distance of a target from the routing node, nearest first. */
enum class Distance : std::uint8_t
{
  OwnDataCentre,
  OwnRegion,
  OtherRegion
};

/** Number of distances. */
inline constexpr std::size_t kDistanceCount = 3;

/** Maximum number of hosts of one service that a node routes to. */
inline constexpr std::size_t kSubsetSize = 20;

/** The routing node's host, region and data centre. */
struct NodeLocality
{
  HostName m_host;
  std::string m_region;
  std::string m_dataCentre;
};

/** Returns the target's distance from the node. Thread safe. */
Distance
DistanceOf(const RouteTarget& aTarget, const NodeLocality& aLocality);

/** Returns at most kSubsetSize of the targets, nearest first. Half of the
    subset is reserved for the own data centre and most of the rest for the own
    region. What a distance cannot fill is available to the others.

    Within a distance the choice is by rendezvous hashing (Thaler and
    Ravishankar, 1998). It differs between nodes, so that all hosts get callers,
    and adding or removing a host changes at most one member of the subset.
    Thread safe. */
std::vector<RouteTarget>
ChooseSubset(std::span<const RouteTarget> aTargets,
             const NodeLocality& aLocality);

}
