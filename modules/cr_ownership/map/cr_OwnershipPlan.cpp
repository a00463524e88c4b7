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

/* Works on a copy of the map; one object for one plan. */
class Planner
{
public:
  Planner(const OwnershipMap& aMap,
          const OwnershipSituation& aSituation,
          const OwnershipTimes& aTimes,
          Holding& aHolding)
    : m_situation(aSituation)
    , m_times(aTimes)
    , m_holding(aHolding)
    , m_plan{ aMap, {} }
  {
    for (const Owner& owner : aSituation.m_ready) {
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
    if (m_situation.m_isReady) {
      Take();
      Balance();
    } else {
      Leave();
    }
    if (!m_plan.m_changes.empty()) {
      ++m_plan.m_map.m_changes;
    }
    return std::move(m_plan);
  }

private:
  bool IsOwn(const Segments& aSegments) const
  {
    return !aSegments.empty() && aSegments.back().m_owner == m_situation.m_self;
  }

  bool HasSuccessors() const
  {
    return std::any_of(
      m_counts.begin(), m_counts.end(), [this](const auto& aEntry) {
        return aEntry.first != m_situation.m_self;
      });
  }

  /* The ready node that holds least, this one left out. */
  Owner LeastLoaded(bool aWithSelf) const
  {
    const auto least = std::min_element(
      m_counts.begin(),
      m_counts.end(),
      [&](const auto& aLeft, const auto& aRight) {
        const bool left = !aWithSelf && aLeft.first == m_situation.m_self;
        const bool right = !aWithSelf && aRight.first == m_situation.m_self;
        return std::tie(left, aLeft.second) < std::tie(right, aRight.second);
      });
    return least->first;
  }

  WallMilliseconds Reach() const { return m_situation.m_now + m_times.m_reach; }

  void Renew()
  {
    const WallMilliseconds due = Reach() - m_times.m_renewAfter;
    const auto& partitions = m_plan.m_map.m_partitions;
    const bool isDue =
      std::any_of(partitions.begin(), partitions.end(), [&](const auto& aEach) {
        return IsOwn(aEach) && aEach.back().m_end <= due;
      });
    if (!isDue || (!m_situation.m_isReady && HasSuccessors())) {
      return;
    }
    for (Segments& segments : m_plan.m_map.m_partitions) {
      if (IsOwn(segments)) {
        segments.back().m_end = std::max(segments.back().m_end, Reach());
      }
    }
  }

  void Take()
  {
    const WallMilliseconds lead = m_situation.m_now + m_times.m_takeoverLead;
    for (std::size_t number = 0; number < kPartitionCount; ++number) {
      const Segments& segments = m_plan.m_map.m_partitions.at(number);
      if (segments.empty() ||
          (!IsOwn(segments) && segments.back().m_end <= lead)) {
        Append(number, LeastLoaded(true));
      }
    }
  }

  void Balance()
  {
    const std::size_t share =
      (kPartitionCount + m_counts.size() - 1) / m_counts.size();
    for (std::size_t number = 0; number < kPartitionCount; ++number) {
      if (m_counts[m_situation.m_self] <= share) {
        return;
      }
      const Owner successor = LeastLoaded(false);
      if (m_counts[successor] + 1 <= share) {
        HandOver(number, successor, m_times.m_balanceDelay);
      }
    }
  }

  void Leave()
  {
    for (std::size_t number = 0; HasSuccessors() && number < kPartitionCount;
         ++number) {
      HandOver(number, LeastLoaded(false), m_times.m_leaveDelay);
    }
  }

  void HandOver(std::size_t aPartition,
                const Owner& aSuccessor,
                WallMilliseconds aDelay)
  {
    Segments& segments = m_plan.m_map.m_partitions.at(aPartition);
    if (!IsOwn(segments)) {
      return;
    }
    const auto end = m_holding.Close(aPartition, m_situation.m_now + aDelay);
    if (!end) {
      return;
    }
    segments.back().m_end = *end;
    if (m_counts.contains(m_situation.m_self)) {
      --m_counts[m_situation.m_self];
    }
    Append(aPartition, aSuccessor);
  }

  void Append(std::size_t aPartition, const Owner& aOwner)
  {
    Segments& segments = m_plan.m_map.m_partitions.at(aPartition);
    const WallMilliseconds begin = segments.empty() ? 0 : segments.back().m_end;
    const WallMilliseconds end = std::max(begin + 1, Reach());
    segments.push_back({ aOwner, begin, end });
    if (segments.size() > kSegmentLimit) {
      segments.erase(segments.begin());
    }
    ++m_counts[aOwner];
    m_plan.m_changes.push_back(fmt::format(
      "partition {} from {} on: {}", aPartition, begin, ToText(aOwner)));
  }

  const OwnershipSituation& m_situation;
  const OwnershipTimes& m_times;
  Holding& m_holding;
  OwnershipPlan m_plan;
  std::map<Owner, std::size_t> m_counts;
};

}

std::optional<OwnershipPlan>
PlanOwnership(const OwnershipMap& aMap,
              const OwnershipSituation& aSituation,
              const OwnershipTimes& aTimes,
              Holding& aHolding)
{
  assert(aMap.IsSound());
  assert(!aSituation.m_isReady || !aSituation.m_ready.empty());
  OwnershipPlan plan = Planner(aMap, aSituation, aTimes, aHolding).Run();
  if (plan.m_map == aMap) {
    return std::nullopt;
  }
  assert(plan.m_map.IsSound());
  return plan;
}

}
