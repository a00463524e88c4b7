#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "cr_core/cr_core.h"
#include "cr_ownership/cr_ownership.h"

namespace cr {

/** Cached ownership maps of the node's own service and of the services that it
    calls. The maps of other services may be stale: the owner itself decides
    whether it accepts a key.

    Thread safe; one lock, held only during a look-up. */
class OwnerTable
{
public:
  /** Creates an empty table; aSelf describes this node as an owner. */
  explicit OwnerTable(Owner aSelf);

  //==========================================================================
  /** Stores a service's map of the given row version; older versions are
      ignored. aIsOwn is true for the service of this host's backend server. */
  void Adopt(const std::string& aService,
             OwnershipMapPointer aMap,
             RowVersion aVersion,
             bool aIsOwn);

  /** Plans changes of the own service's map. @see PlanOwnership */
  std::optional<OwnershipPlan> Plan(const OwnershipMap& aMap,
                                    const OwnershipPlanInput& aInput,
                                    const OwnershipTiming& aTiming);

  /** Checks whether this node owns a key of the service. A node owns keys only
      of the first service that its backend server announced.
      @see LocalOwnership::Accept */
  OwnershipStatus Accept(const std::string& aService,
                         const IdempotencyKey& aKey,
                         WallMilliseconds aLatestBirth);

  /** Requests a new read of the service's map, because a call found it stale or
      missing. */
  void RequestRefresh(const std::string& aService);

  /** Returns the services whose maps must be read again, and clears the
      requests. */
  std::set<std::string> TakeRefreshRequests();

  //==========================================================================
  /** Returns the cached owner of a key; nothing when it is unknown. */
  std::optional<Owner> Find(const std::string& aService,
                            const IdempotencyKey& aKey) const;

  /** Returns the service's map; null when it is unknown. */
  OwnershipMapPointer MapOf(const std::string& aService) const;

  /** Returns the number of partitions that have or had an owner, for each
      service whose map is known. */
  std::map<std::string, std::size_t> OwnedPartitions() const;

  /** Returns whether a read of any map is requested. */
  bool HasRefreshRequests() const;

private:
  struct Entry
  {
    OwnershipMapPointer m_map;
    RowVersion m_version = 0;
  };

  struct State
  {
    explicit State(Owner aSelf)
      : m_localOwnership(std::move(aSelf))
    {
    }

    std::map<std::string, Entry> m_entries;
    std::set<std::string> m_refreshRequests;
    std::string m_ownService;
    LocalOwnership m_localOwnership;
  };

  Guarded<State> m_state;
};

}
