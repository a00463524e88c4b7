#include "cr_suspects/suspects/cr_SuspectTable.h"

#include <algorithm>

namespace cr {

namespace {

constexpr Duration kSuspicion = Seconds(60);
constexpr std::uint32_t kDeathsBeforeRefusal = 2;
constexpr std::size_t kEntryLimit = 65536;

}

void
SuspectTable::ReportDeath(std::span<const RequestId> aRunning, Instant aNow)
{
  for (const RequestId& request : aRunning) {
    if (m_entries.size() >= kEntryLimit && !m_entries.contains(request)) {
      continue;
    }
    Entry& entry = m_entries[request];
    ++entry.m_deaths;
    entry.m_until = aNow + kSuspicion;
  }
}

void
SuspectTable::Learn(std::span<const Suspect> aSuspects, Instant aNow)
{
  for (const Suspect& suspect : aSuspects) {
    if (m_entries.size() >= kEntryLimit &&
        !m_entries.contains(suspect.m_request)) {
      continue;
    }
    Entry& entry = m_entries[suspect.m_request];
    entry.m_deaths = std::max(entry.m_deaths, suspect.m_deaths);
    entry.m_until =
      std::max(entry.m_until, aNow + std::min(suspect.m_remaining, kSuspicion));
  }
}

void
SuspectTable::Advance(Instant aNow)
{
  std::erase_if(m_entries, [aNow](const auto& aEntry) {
    return aEntry.second.m_until <= aNow;
  });
}

bool
SuspectTable::IsRefused(const RequestId& aRequest, Instant aNow) const
{
  const auto entry = m_entries.find(aRequest);
  return entry != m_entries.end() && entry->second.m_until > aNow &&
         entry->second.m_deaths >= kDeathsBeforeRefusal;
}

std::vector<Suspect>
SuspectTable::Recent(Instant aNow, std::size_t aLimit) const
{
  std::vector<Suspect> suspects;
  for (const auto& [request, entry] : m_entries) {
    if (suspects.size() == aLimit) {
      break;
    }
    if (entry.m_until > aNow) {
      suspects.push_back({ request, entry.m_deaths, entry.m_until - aNow });
    }
  }
  return suspects;
}

}
