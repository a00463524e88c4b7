#include "cr_routing/router/cr_Router.h"

#include <algorithm>

namespace cr {

namespace {

constexpr int kMaxPicks = 6;
constexpr double kFailureFactor = 8;
constexpr double kRefusalFactor = 4;
/* How much slower a near host may be before a farther one is chosen. */
constexpr Duration::rep kSpillRatio = 2;
constexpr Duration kSpillSlack = Milliseconds(2);
constexpr double kBaselineDecreaseWeight = 0.02;
constexpr double kBaselineIncreaseWeight = 0.005;
/* An outlier's failure share exceeds this multiple of the other hosts' mean. */
constexpr double kOutlierRatio = 2;
/* Max share of the attempts that are probes of ejected hosts. Each of many
   nodes with few requests would else send a large part of them to a failing
   host. */
constexpr double kMaxProbeShare = 0.02;

/* The latency up to which a near host is preferred to a farther one with the
   given latency. */
Duration
MaxHealthyLatency(Duration aLatency)
{
  return aLatency * kSpillRatio + kSpillSlack;
}

}

Router::Router(NodeLocality aLocality,
               std::uint64_t aSeed,
               const PolicySwitches& aPolicy)
  : m_locality(std::move(aLocality))
  , m_random(aSeed)
  , m_policy(aPolicy)
{
}

void
Router::Update(std::span<const RouteTarget> aTargets, Instant aNow)
{
  const bool isFirst = m_entries.empty();
  std::vector<Entry> entries;
  for (RouteTarget& target : ChooseSubset(aTargets, m_locality)) {
    const auto known = m_index.find(target.m_host);
    if (known != m_index.end() &&
        m_entries.at(known->second).m_target.m_incarnation ==
          target.m_incarnation) {
      entries.push_back(std::move(m_entries.at(known->second)));
      entries.back().m_target = std::move(target);
      continue;
    }
    Entry& entry = entries.emplace_back();
    entry.m_target = std::move(target);
    if (!isFirst) {
      entry.m_health.StartRamp(aNow);
    }
  }
  m_entries = std::move(entries);
  RebuildIndex();
}

std::optional<RouteTarget>
Router::Choose(Rank aRank,
               std::span<const HostName> aExcluded,
               Instant aNow,
               bool aMayBeRepeated)
{
  const Request request{ aRank, aExcluded, aNow };
  m_probeCredit = std::min(1.0, m_probeCredit + kMaxProbeShare);
  Entry* chosen = aMayBeRepeated ? ChooseProbe(request) : nullptr;
  if (chosen == nullptr) {
    chosen = ChooseHost(request);
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  ++chosen->m_inFlight;
  return chosen->m_target;
}

void
Router::Report(const HostName& aHost,
               const AttemptResult& aResult,
               Instant aNow)
{
  const auto found = m_index.find(aHost);
  if (found == m_index.end()) {
    return;
  }
  Entry& entry = m_entries.at(found->second);
  if (entry.m_inFlight > 0) {
    --entry.m_inFlight;
  }
  entry.m_health.Report(aResult, BaselineLatency(), aNow);
  if (aResult.m_answered) {
    UpdateBaselineLatency(aResult.m_latency);
  }
  if (m_policy.m_ejection && entry.m_health.IsFailing(aNow)) {
    EjectIfOutlier(entry, aNow);
  }
}

std::size_t
Router::Ejected(Instant aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_entries.begin(), m_entries.end(), [&](const Entry& aEntry) {
      return aEntry.m_health.IsEjected(aNow);
    }));
}

std::optional<AdmissionLevel>
Router::LowestLevel(Instant aNow) const
{
  std::optional<AdmissionLevel> lowest;
  for (const Entry& entry : m_entries) {
    if (entry.m_health.IsEjected(aNow)) {
      continue;
    }
    const auto level = entry.m_health.Level(aNow);
    if (!level) {
      return std::nullopt;
    }
    lowest = std::min(lowest.value_or(*level), *level);
  }
  return lowest;
}

bool
Router::HasUnrestrictedHost(Instant aNow) const
{
  return std::any_of(
    m_entries.begin(), m_entries.end(), [&](const Entry& aEntry) {
      return !aEntry.m_health.IsEjected(aNow) &&
             aEntry.m_health.LimitShare() >= 1 &&
             aEntry.m_health.Level(aNow).value_or(0) == 0;
    });
}

//==============================================================================
void
Router::RebuildIndex()
{
  m_index.clear();
  std::array<std::size_t, kDistanceCount> counts{};
  for (std::size_t index = 0; index < m_entries.size(); ++index) {
    const RouteTarget& target = m_entries.at(index).m_target;
    m_index.emplace(target.m_host, index);
    ++counts.at(m_policy.m_ownDataCentreFirst
                  ? static_cast<std::size_t>(DistanceOf(target, m_locality))
                  : 0);
  }
  const std::size_t region = counts.at(0) + counts.at(1);
  m_ownDataCentre = { 0, counts.at(0) };
  m_ownRegion = { 0, region };
  m_otherRegions = { region, counts.at(2) };
}

/* Returns an ejected host to which a probe is due; null if there is none. */
Router::Entry*
Router::ChooseProbe(const Request& aRequest)
{
  if (aRequest.m_now >= m_ejectionsUntil || m_probeCredit < 1) {
    return nullptr;
  }
  const auto due =
    std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry& aEntry) {
      return aEntry.m_health.IsProbeDue(aRequest.m_now) &&
             !IsExcluded(aEntry, aRequest);
    });
  if (due == m_entries.end()) {
    return nullptr;
  }
  m_probeCredit -= 1;
  due->m_health.BeginProbe(aRequest.m_now);
  return &*due;
}

Router::Entry*
Router::ChooseHost(const Request& aRequest)
{
  Entry* chosen = ChooseInGroup(m_ownDataCentre, aRequest);
  if (chosen != nullptr && !IsLoaded(*chosen, aRequest) &&
      DrawLimitShare(*chosen)) {
    return chosen;
  }
  for (int pick = 0; pick < kMaxPicks; ++pick) {
    Entry* regional = ChooseInGroup(m_ownRegion, aRequest);
    if (regional == nullptr) {
      break;
    }
    chosen = regional;
    if (DrawLimitShare(*regional)) {
      break;
    }
  }
  if (chosen != nullptr && !Refuses(*chosen, aRequest) &&
      !IsSlow(*chosen, aRequest.m_now)) {
    return chosen;
  }
  Entry* remote = ChooseInGroup(m_otherRegions, aRequest);
  if (remote != nullptr &&
      (chosen == nullptr || IsOverloaded(*chosen, *remote, aRequest))) {
    chosen = remote;
  }
  return chosen != nullptr ? chosen : FindCheapestNotExcluded(aRequest);
}

/* Returns whether the host is used for this request, with the probability of
   its limit share. */
bool
Router::DrawLimitShare(const Entry& aEntry)
{
  const double share = aEntry.m_health.LimitShare();
  return share >= 1 || m_random.NextDouble() < share;
}

Router::Entry*
Router::ChooseInGroup(const Group& aGroup, const Request& aRequest)
{
  Entry* first = PickHost(aGroup, aRequest);
  if (first == nullptr || !m_policy.m_twoChoices) {
    return first;
  }
  Entry* second = PickHost(aGroup, aRequest);
  return IsBetter(*second, *first, aRequest) ? second : first;
}

/* A host that is ramping up is picked with the probability of its ramp share.
 */
Router::Entry*
Router::PickHost(const Group& aGroup, const Request& aRequest)
{
  Entry* last = nullptr;
  for (int pick = 0; pick < kMaxPicks && aGroup.m_size > 0; ++pick) {
    Entry& entry =
      m_entries.at(aGroup.m_begin + m_random.NextBelow(aGroup.m_size));
    if (!IsUsable(entry, aRequest)) {
      continue;
    }
    const double share = entry.m_health.RampShare(aRequest.m_now);
    if (share >= 1 || m_random.NextDouble() < share) {
      return &entry;
    }
    last = &entry;
  }
  return last != nullptr ? last : FindUsable(aGroup, aRequest);
}

Router::Entry*
Router::FindUsable(const Group& aGroup, const Request& aRequest)
{
  const std::size_t start =
    aGroup.m_size > 0 ? m_random.NextBelow(aGroup.m_size) : 0;
  for (std::size_t step = 0; step < aGroup.m_size; ++step) {
    Entry& entry =
      m_entries.at(aGroup.m_begin + (start + step) % aGroup.m_size);
    if (IsUsable(entry, aRequest)) {
      return &entry;
    }
  }
  return nullptr;
}

/* Used when every host is excluded or ejected: chooses an ejected one. */
Router::Entry*
Router::FindCheapestNotExcluded(const Request& aRequest)
{
  Entry* best = nullptr;
  for (Entry& entry : m_entries) {
    if (IsExcluded(entry, aRequest)) {
      continue;
    }
    if (best == nullptr ||
        Cost(entry, aRequest.m_now) < Cost(*best, aRequest.m_now)) {
      best = &entry;
    }
  }
  return best;
}

bool
Router::IsExcluded(const Entry& aEntry, const Request& aRequest) const
{
  const auto& excluded = aRequest.m_excluded;
  return std::find(excluded.begin(), excluded.end(), aEntry.m_target.m_host) !=
         excluded.end();
}

bool
Router::IsUsable(const Entry& aEntry, const Request& aRequest) const
{
  return !aEntry.m_health.IsEjected(aRequest.m_now) &&
         !IsExcluded(aEntry, aRequest);
}

bool
Router::Refuses(const Entry& aEntry, const Request& aRequest) const
{
  return m_policy.m_levelFeedback &&
         aEntry.m_health.Level(aRequest.m_now).value_or(0) > aRequest.m_rank;
}

bool
Router::IsBetter(const Entry& aFirst,
                 const Entry& aSecond,
                 const Request& aRequest) const
{
  const bool firstRefuses = Refuses(aFirst, aRequest);
  const bool secondRefuses = Refuses(aSecond, aRequest);
  if (firstRefuses != secondRefuses) {
    return secondRefuses;
  }
  return Cost(aFirst, aRequest.m_now) < Cost(aSecond, aRequest.m_now);
}

bool
Router::IsOverloaded(const Entry& aNear,
                     const Entry& aFar,
                     const Request& aRequest) const
{
  const bool farRefuses = Refuses(aFar, aRequest);
  if (Refuses(aNear, aRequest) || farRefuses) {
    return !farRefuses;
  }
  const Duration near =
    aNear.m_health.Latency(BaselineLatency(), aRequest.m_now);
  const Duration far = aFar.m_health.Latency(BaselineLatency(), aRequest.m_now);
  return near > MaxHealthyLatency(far);
}

bool
Router::IsSlow(const Entry& aEntry, Instant aNow) const
{
  return aEntry.m_health.Latency(BaselineLatency(), aNow) >
         MaxHealthyLatency(BaselineLatency());
}

/* A gate with a threshold above 0 is overloaded, even if it would admit this
   call; then the load is spread over the whole region. */
bool
Router::IsLoaded(const Entry& aEntry, const Request& aRequest) const
{
  return aEntry.m_health.Level(aRequest.m_now).value_or(0) > 0 ||
         IsSlow(aEntry, aRequest.m_now);
}

/* Failures and refusals return fast, which would make a host look idle and
   fast. So they raise its cost and are excluded from its latency. */
double
Router::Cost(const Entry& aEntry, Instant aNow) const
{
  const auto latency =
    static_cast<double>(
      aEntry.m_health.Latency(BaselineLatency(), aNow).count()) +
    1;
  return (static_cast<double>(aEntry.m_inFlight) + 1) * latency *
         (1 + kFailureFactor * aEntry.m_health.FailureShare(aNow) +
          kRefusalFactor * aEntry.m_health.RefusalShare(aNow));
}

/* When all hosts fail at the same rate, a service that they call has failed;
   ejecting some would only add load to the others. */
void
Router::EjectIfOutlier(Entry& aEntry, Instant aNow)
{
  const double allowed =
    kMaxEjectedShare * static_cast<double>(m_entries.size());
  if (aEntry.m_health.IsEjected(aNow) ||
      static_cast<double>(Ejected(aNow) + 1) > allowed) {
    return;
  }
  double othersFailure = 0;
  for (const Entry& entry : m_entries) {
    othersFailure += &entry != &aEntry ? entry.m_health.FailureShare(aNow) : 0;
  }
  const double mean = othersFailure / static_cast<double>(m_entries.size() - 1);
  if (aEntry.m_health.FailureShare(aNow) > kOutlierRatio * mean) {
    aEntry.m_health.Eject(m_random.NextDouble(), aNow);
    m_ejectionsUntil =
      std::max(m_ejectionsUntil, aEntry.m_health.EjectedUntil());
  }
}

Duration
Router::BaselineLatency() const
{
  return Duration(static_cast<Duration::rep>(m_baselineLatencyUs));
}

/* Falls fast and rises slowly, so that it approximates the latency of the
   service while it is healthy. */
void
Router::UpdateBaselineLatency(Duration aLatency)
{
  const auto latency = static_cast<double>(aLatency.count());
  if (m_baselineLatencyUs == 0) {
    m_baselineLatencyUs = latency;
    return;
  }
  const double weight = latency < m_baselineLatencyUs ? kBaselineDecreaseWeight
                                                      : kBaselineIncreaseWeight;
  m_baselineLatencyUs += weight * (latency - m_baselineLatencyUs);
}

}
