#include "cr_routing/router/cr_Router.h"

#include <algorithm>

namespace cr {

Router::Router(std::string aRegion,
               std::string aDataCentre,
               std::uint64_t aSeed,
               const PolicySwitches& aPolicy)
  : m_region(std::move(aRegion))
  , m_dataCentre(std::move(aDataCentre))
  , m_random(aSeed)
  , m_policy(aPolicy)
{
}

void
Router::Update(std::span<const RouteTarget> aTargets, Instant /*aNow*/)
{
  std::vector<Entry> entries;
  for (const RouteTarget& target : aTargets) {
    const auto known = std::find_if(
      m_entries.begin(), m_entries.end(), [&](const Entry& aEntry) {
        return aEntry.m_target.m_host == target.m_host &&
               aEntry.m_target.m_incarnation == target.m_incarnation;
      });
    entries.push_back(
      { target, known == m_entries.end() ? 0 : known->m_inFlight });
  }
  m_entries = std::move(entries);
}

std::optional<RouteTarget>
Router::Choose(Rank /*aRank*/,
               std::span<const HostName> aExcluded,
               Instant /*aNow*/)
{
  std::vector<Entry*> allowed;
  for (Entry& entry : m_entries) {
    if (std::find(aExcluded.begin(), aExcluded.end(), entry.m_target.m_host) ==
        aExcluded.end()) {
      allowed.push_back(&entry);
    }
  }
  if (allowed.empty()) {
    return std::nullopt;
  }
  Entry* first = allowed[m_random.Below(allowed.size())];
  Entry* second = allowed[m_random.Below(allowed.size())];
  const bool secondIsBetter =
    m_policy.m_twoChoices && second->m_inFlight < first->m_inFlight;
  Entry* best = secondIsBetter ? second : first;
  ++best->m_inFlight;
  return best->m_target;
}

void
Router::Report(const HostName& aHost,
               const AttemptResult& /*aResult*/,
               Instant /*aNow*/)
{
  const auto entry =
    std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry& aEntry) {
      return aEntry.m_target.m_host == aHost;
    });
  if (entry != m_entries.end() && entry->m_inFlight > 0) {
    --entry->m_inFlight;
  }
}

}
