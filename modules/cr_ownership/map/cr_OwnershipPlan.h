#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cr_ownership/map/cr_LocalOwnership.h"

namespace cr {

/** Timing of the ownership protocol in milliseconds. It affects availability
    only, never safety. */
struct OwnershipTiming
{
  /** How far after the current time an owner's last segment ends after a
      renewal. */
  WallMilliseconds m_horizon = 720'000;
  /** An owner renews when this much of the horizon has elapsed. */
  WallMilliseconds m_renewAfter = 60'000;
  /** A segment that ends within this time without a renewal gets a
      successor. */
  WallMilliseconds m_takeoverLead = 30'000;
  /** Time from the decision to rebalance partitions to the change of owner;
      longer than all nodes need to receive the map. */
  WallMilliseconds m_balanceDelay = 90'000;
  /** Time from the decision to leave to the change of owner. */
  WallMilliseconds m_leaveDelay = 1'000;
};

/** Input for planning changes of the ownership map of a node's service. */
struct OwnershipPlanInput
{
  Owner m_self;
  /** Whether this node's backend server accepts new calls. */
  bool m_isReady = false;
  /** All nodes of the service whose backend servers accept new calls, this one
      included if its server does. */
  std::vector<Owner> m_ready;
  WallMilliseconds m_now = 0;
};

/** A change of the map, to be committed conditional on the version that it was
    planned for. */
struct OwnershipPlan
{
  OwnershipMap m_map;
  /** One line per change of owner, for the audit trail; empty when segments
      were only extended. */
  std::vector<std::string> m_changes;
};

/** Plans this node's changes to the map of its service: it renews the segments
    that it owns, assigns owners to partitions without an upcoming one,
    transfers partitions to nodes that own fewer, and transfers all of them when
    it leaves.

    Every added segment begins where the previous one ends, and an end is
    reduced only after aOwnership.ReduceEnd(), so segments never overlap.
    Returns nothing when there is nothing to change. Precondition: aMap is the
    map that aOwnership was last updated with, or empty when there is none. */
std::optional<OwnershipPlan>
PlanOwnership(const OwnershipMap& aMap,
              const OwnershipPlanInput& aInput,
              const OwnershipTiming& aTiming,
              LocalOwnership& aOwnership);

}
