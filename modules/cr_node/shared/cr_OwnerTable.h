#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "cr_core/cr_core.h"
#include "cr_ownership/cr_ownership.h"

namespace cr {

/** What a node knows of the owners of keys, of its own service and of those it
    calls. What it knows of others may be old: the owner itself decides.

    Thread safe; one lock, held for a look-up. */
class OwnerTable
{
public:
  /** Starts empty; aSelf is this node as an owner. */
  explicit OwnerTable(Owner aSelf);

  //==========================================================================
  /** Takes in a service's map at a row version; older versions are ignored.
      aIsOwn tells that it is the service of this host's backend server. */
  void Adopt(const std::string& aService,
             OwnershipMapPointer aMap,
             RowVersion aVersion,
             bool aIsOwn);

  /** Plans changes of the own service's map. @see PlanOwnership */
  std::optional<OwnershipPlan> Plan(const OwnershipMap& aMap,
                                    const OwnershipPlanInput& aSituation,
                                    const OwnershipTiming& aTimes);

  /** Decides whether this node may decide on a key of the service. A node holds
      keys only of the first service that its backend server announced.
      @see LocalOwnership::Accept */
  OwnershipStatus Accept(const std::string& aService,
                         const IdempotencyKey& aKey,
                         WallMilliseconds aLatestBirth);

  /** Asks for a fresh read of the service's map, because a call found it old or
      missing. */
  void RequestRefresh(const std::string& aService);

  /** Hands over the services whose maps are to be read afresh. */
  std::set<std::string> TakeRequests();

  //==========================================================================
  /** Returns the owner of a key, as far as known. */
  std::optional<Owner> Find(const std::string& aService,
                            const IdempotencyKey& aKey) const;

  /** Returns the service's map, or null. */
  OwnershipMapPointer MapOf(const std::string& aService) const;

  /** Returns, for each service whose map is known, how many of its partitions
      have had an owner. */
  std::map<std::string, std::size_t> OwnedPartitions() const;

  /** Returns whether a fresh read is wanted. */
  bool HasRequests() const;

private:
  struct Entry
  {
    OwnershipMapPointer m_map;
    RowVersion m_version = 0;
  };

  struct State
  {
    explicit State(Owner aSelf)
      : m_holding(std::move(aSelf))
    {
    }

    std::map<std::string, Entry> m_entries;
    std::set<std::string> m_requests;
    std::string m_ownService;
    LocalOwnership m_holding;
  };

  Guarded<State> m_state;
};

}
