#pragma once

#include <array>
#include <limits>
#include <optional>

#include "cr_ownership/map/cr_OwnershipMap.h"

namespace cr {

/** Whether this node may decide on a key. */
enum class OwnershipStatus : std::uint8_t
{
  /** This node owns the key. */
  Owned,
  /** Another node owns the key, or no node owns it yet. */
  NotOwned,
  /** This node owns the key, but its birth time is too far in the future. */
  TooEarly
};

/** The keys that this node incarnation owns of its own service, according to
    the last committed map.

    It never claims more than the committed row grants: when this node requests
    an earlier end, the end applies from the moment of the request. So its
    safety depends neither on a clock nor on an answer from the store, even
    after a pause of any length. Not thread safe. */
class LocalOwnership
{
public:
  /** Creates an instance that owns nothing. */
  explicit LocalOwnership(Owner aSelf);

  //==========================================================================
  /** Sets the committed map read at a row version. Maps that are not newer than
      the current one are ignored. */
  void UpdateMap(OwnershipMapPointer aMap, RowVersion aVersion);

  /** Checks whether this node owns a key, and records the birth time if it
      does. aLatestBirth rejects keys of customers whose clocks are ahead. */
  OwnershipStatus Accept(std::size_t aPartition,
                         WallMilliseconds aBirth,
                         WallMilliseconds aLatestBirth);

  /** Stops accepting birth times from the returned time on: aEnd, or later if a
      later birth time was already accepted. Call it before a transaction that
      reduces the end of a partition's last segment; the transaction must be
      conditional on the row version that was set last. Returns nothing when
      this node owns no later end. */
  std::optional<WallMilliseconds> ReduceEnd(std::size_t aPartition,
                                            WallMilliseconds aEnd);

  //==========================================================================
  /** Returns the latest birth time accepted in the partition plus one. */
  WallMilliseconds AcceptedEnd(std::size_t aPartition) const
  {
    return m_acceptedEnds.at(aPartition);
  }

private:
  static constexpr WallMilliseconds kUnlimited =
    std::numeric_limits<WallMilliseconds>::max();

  Owner m_self;
  OwnershipMapPointer m_map;
  RowVersion m_version = 0;
  /** Requested ends, which may be committed at any time. */
  std::array<WallMilliseconds, kPartitionCount> m_pendingEnds{};
  std::array<WallMilliseconds, kPartitionCount> m_acceptedEnds{};
};

}
