#pragma once

#include <array>
#include <limits>
#include <optional>

#include "cr_ownership/map/cr_OwnershipMap.h"

namespace cr {

/** Whether an owner may decide on a key. */
enum class HoldingVerdict : std::uint8_t
{
  /** This node owns the key. */
  Held,
  /** Another node owns the key, or nobody does yet. */
  NotHeld,
  /** This node owns the key, but it was born too far in the future. */
  TooEarly
};

/** What this node incarnation holds of its own service, as last committed.

    It never claims more than the committed row gives it: an end that this node
    asked to move down counts from the moment of asking. So it needs no clock
    and no word from the store to be safe, also after a pause of any length.
    Not thread safe. */
class Holding
{
public:
  /** Starts holding nothing. */
  explicit Holding(Owner aSelf);

  //==========================================================================
  /** Takes in the committed map at a row version. Maps older than the one known
      are ignored. */
  void Adopt(OwnershipMapPointer aMap, RowVersion aVersion);

  /** Decides on a key, and remembers its birth time when it is held.
      aLatestBirth guards against customers' clocks that are ahead. */
  HoldingVerdict Accept(std::size_t aPartition,
                        WallMilliseconds aBirth,
                        WallMilliseconds aLatestBirth);

  /** Accepts no births from the returned time on: the given end, or later if a
      later birth was accepted. Call it before a transaction that moves the end
      of a partition's last segment down, which is conditional on the row
     version that was adopted last. Returns nothing when this node holds no
     later end.
  */
  std::optional<WallMilliseconds> Close(std::size_t aPartition,
                                        WallMilliseconds aEnd);

  //==========================================================================
  /** Returns the greatest birth time accepted in the partition plus one. */
  WallMilliseconds AcceptedEnd(std::size_t aPartition) const
  {
    return m_acceptedEnds.at(aPartition);
  }

private:
  static constexpr WallMilliseconds kOpen =
    std::numeric_limits<WallMilliseconds>::max();

  Owner m_self;
  OwnershipMapPointer m_map;
  RowVersion m_version = 0;
  /** Ends that were asked for and may be committed at any time. */
  std::array<WallMilliseconds, kPartitionCount> m_limits{};
  std::array<WallMilliseconds, kPartitionCount> m_acceptedEnds{};
};

}
