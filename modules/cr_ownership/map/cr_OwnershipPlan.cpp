#include "cr_ownership/map/cr_OwnershipPlan.h"

#include <algorithm>
#include <cassert>
#include <map>

#include <fmt/format.h>

namespace cr {

namespace {

std::string
ToText(const Owner& aOwner)
{
  return fmt::format(
    "{}#{}", aOwner.m_host, static_cast<std::uint64_t>(aOwner.m_incarnation));
}

/* Computes one plan on a copy of the map. Use an object only once. */
class Planner
{
public:
  Planner(const OwnershipMap& aMap,
          const OwnershipPlanInput& aInput,
          const OwnershipTiming& aTiming,
          LocalOwnership& aOwnership)
    : m_input(aInput)
    , m_timing(aTiming)
    , m_ownership(aOwnership)
    , m_plan{ aMap, {} }
  {
    for (const Owner& owner : aInput.m_ready) {
      m_counts[owner] = 0;
    }
    for (const Segments& segments : aMap.m_partitions) {
      if (!segments.empty() && m_counts.contains(segments.back().m_owner)) {
        ++m_counts[segments.back().m_owner];
      }
    }
  }

  OwnershipPlan Run()
  {
    Renew();
    if (m_input.m_isReady) {
      TakeOver();
      Rebalance();
    } else {
      TransferAll();
    }
    if (!m_plan.m_changes.empty()) {
      ++m_plan.m_map.m_changes;
    }
    return std::move(m_plan);
  }

private:
  bool IsOwn(const Segments& aSegments) const
  {
    return !aSegments.empty() && aSegments.back().m_owner == m_input.m_self;
  }

  bool HasSuccessors() const
  {
    return std::any_of(
      m_counts.begin(), m_counts.end(), [this](const auto& aEntry) {
        return aEntry.first != m_input.m_self;
      });
  }

  /* Returns the ready node with the fewest partitions. Without aIncludeSelf
     this node is chosen only if there is no other. */
  Owner LeastLoaded(bool aIncludeSelf) const
  {
    const auto leastLoaded = std::min_element(
      m_counts.begin(),
      m_counts.end(),
      [&](const auto& aLeft, const auto& aRight) {
        const bool left = !aIncludeSelf && aLeft.first == m_input.m_self;
        const bool right = !aIncludeSelf && aRight.first == m_input.m_self;
        return std::tie(left, aLeft.second) < std::tie(right, aRight.second);
      });
    return leastLoaded->first;
  }

  WallMilliseconds Horizon() const
  {
    return m_input.m_now + m_timing.m_horizon;
  }

  void Renew()
  {
    const WallMilliseconds due = Horizon() - m_timing.m_renewAfter;
    const auto& partitions = m_plan.m_map.m_partitions;
    const bool isDue =
      std::any_of(partitions.begin(), partitions.end(), [&](const auto& aEach) {
        return IsOwn(aEach) && aEach.back().m_end <= due;
      });
    if (!isDue || (!m_input.m_isReady && HasSuccessors())) {
      return;
    }
    for (Segments& segments : m_plan.m_map.m_partitions) {
      if (IsOwn(segments)) {
        segments.back().m_end = std::max(segments.back().m_end, Horizon());
      }
    }
  }

  void TakeOver()
  {
    const WallMilliseconds lead = m_input.m_now + m_timing.m_takeoverLead;
    for (std::size_t number = 0; number < kPartitionCount; ++number) {
      const Segments& segments = m_plan.m_map.m_partitions.at(number);
      if (segments.empty() ||
          (!IsOwn(segments) && segments.back().m_end <= lead)) {
        Append(number, LeastLoaded(true));
      }
    }
  }

  void Rebalance()
  {
    const std::size_t share =
      (kPartitionCount + m_counts.size() - 1) / m_counts.size();
    for (std::size_t number = 0; number < kPartitionCount; ++number) {
      if (m_counts[m_input.m_self] <= share) {
        return;
      }
      const Owner successor = LeastLoaded(false);
      if (m_counts[successor] + 1 <= share) {
        Transfer(number, successor, m_timing.m_balanceDelay);
      }
    }
  }

  void TransferAll()
  {
    for (std::size_t number = 0; HasSuccessors() && number < kPartitionCount;
         ++number) {
      Transfer(number, LeastLoaded(false), m_timing.m_leaveDelay);
    }
  }

  void Transfer(std::size_t aPartition,
                const Owner& aSuccessor,
                WallMilliseconds aDelay)
  {
    Segments& segments = m_plan.m_map.m_partitions.at(aPartition);
    if (!IsOwn(segments)) {
      return;
    }
    const auto end = m_ownership.ReduceEnd(aPartition, m_input.m_now + aDelay);
    if (!end) {
      return;
    }
    segments.back().m_end = *end;
    if (m_counts.contains(m_input.m_self)) {
      --m_counts[m_input.m_self];
    }
    Append(aPartition, aSuccessor);
  }

  void Append(std::size_t aPartition, const Owner& aOwner)
  {
    Segments& segments = m_plan.m_map.m_partitions.at(aPartition);
    const WallMilliseconds begin = segments.empty() ? 0 : segments.back().m_end;
    const WallMilliseconds end = std::max(begin + 1, Horizon());
    segments.push_back({ aOwner, begin, end });
    if (segments.size() > kMaxSegments) {
      segments.erase(segments.begin());
    }
    ++m_counts[aOwner];
    m_plan.m_changes.push_back(fmt::format(
      "partition {} from {} on: {}", aPartition, begin, ToText(aOwner)));
  }

  const OwnershipPlanInput& m_input;
  const OwnershipTiming& m_timing;
  LocalOwnership& m_ownership;
  OwnershipPlan m_plan;
  std::map<Owner, std::size_t> m_counts;
};

}

std::optional<OwnershipPlan>
PlanOwnership(const OwnershipMap& aMap,
              const OwnershipPlanInput& aInput,
              const OwnershipTiming& aTiming,
              LocalOwnership& aOwnership)
{
  assert(aMap.IsConsistent());
  assert(!aInput.m_isReady || !aInput.m_ready.empty());
  OwnershipPlan plan = Planner(aMap, aInput, aTiming, aOwnership).Run();
  if (plan.m_map == aMap) {
    return std::nullopt;
  }
  assert(plan.m_map.IsConsistent());
  return plan;
}

}
