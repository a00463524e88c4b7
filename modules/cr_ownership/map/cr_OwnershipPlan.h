#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cr_ownership/map/cr_Holding.h"

namespace cr {

/** Times of the ownership protocol, in milliseconds. They touch availability
    only, never safety. */
struct OwnershipTimes
{
  /** How far ahead of now an owner's last segment reaches after a renewal. */
  WallMilliseconds m_reach = 720'000;
  /** An owner renews when this much of the reach is used up. */
  WallMilliseconds m_renewAfter = 60'000;
  /** A segment that ends within this time, unrenewed, gets a successor. */
  WallMilliseconds m_takeoverLead = 30'000;
  /** Time from the decision to share out partitions to the change of owner;
      longer than it takes all nodes to learn the map. */
  WallMilliseconds m_balanceDelay = 90'000;
  /** Time from the decision to leave to the change of owner. */
  WallMilliseconds m_leaveDelay = 1'000;
};

/** What a node knows when it plans changes of its service's ownership map. */
struct OwnershipSituation
{
  Owner m_self;
  /** This node's backend server takes new work. */
  bool m_isReady = false;
  /** All nodes of the service whose backend servers take new work, this one
      included when it does. */
  std::vector<Owner> m_ready;
  WallMilliseconds m_now = 0;
};

/** A change of the map, to be committed on the version it was planned on. */
struct OwnershipPlan
{
  OwnershipMap m_map;
  /** One line for each change of owners, for the audit trail; empty when only
      ends were moved up. */
  std::vector<std::string> m_changes;
};

/** Plans what this node changes in its service's map: it renews what it holds,
    takes or shares out what nobody will hold, hands partitions to nodes that
    hold fewer, and hands over all of them when it leaves.

    Every segment that is added begins where the one before it ends, and an end
    only moves down when aHolding has been closed there, so segments never
    overlap. Returns nothing when nothing is to be changed. Precondition: aMap
   is the map that aHolding adopted last, or empty when there is none. */
std::optional<OwnershipPlan>
PlanOwnership(const OwnershipMap& aMap,
              const OwnershipSituation& aSituation,
              const OwnershipTimes& aTimes,
              Holding& aHolding);

}
