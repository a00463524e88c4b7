#include "cr_suspects/suspects/cr_SuspectTable.h"

#include <algorithm>
#include <tuple>

namespace cr {

namespace {

constexpr std::uint32_t kCrashesBeforeRefusal = 2;
constexpr std::uint32_t kCrashesBeyondClearing = 3;

}

RequestId
SuspectKey(const RequestId& aRequest, const OperationName& aOperation)
{
  return { aRequest.m_high,
           aRequest.m_low ^ Hash(ToText(aOperation), aRequest.m_high) };
}

void
SuspectTable::RecordCrash(std::span<const RequestId> aRunning, Instant aNow)
{
  for (const RequestId& request : aRunning) {
    Entry& entry = FindOrAdd(request, aNow);
    ++entry.m_crashes;
    entry.m_until = aNow + kSuspicionTime;
  }
}

void
SuspectTable::Clear(const RequestId& aRequest, Instant aNow)
{
  const auto entry = m_entries.find(aRequest);
  if (entry != m_entries.end()) {
    entry->second.m_cleared = entry->second.m_crashes;
    entry->second.m_until = aNow + kSuspicionTime;
  }
}

void
SuspectTable::Merge(std::span<const Suspect> aSuspects, Instant aNow)
{
  for (const Suspect& suspect : aSuspects) {
    if (suspect.m_remaining <= Duration::zero()) {
      continue;
    }
    Entry& entry = FindOrAdd(suspect.m_request, aNow);
    entry.m_crashes = std::max(entry.m_crashes, suspect.m_crashes);
    entry.m_cleared = std::max(entry.m_cleared, suspect.m_cleared);
    entry.m_until = std::max(
      entry.m_until, aNow + std::min(suspect.m_remaining, kSuspicionTime));
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
  const Entry* entry = Find(aRequest, aNow);
  return entry != nullptr &&
         (entry->m_crashes >= kCrashesBeyondClearing ||
          entry->m_crashes >= entry->m_cleared + kCrashesBeforeRefusal);
}

bool
SuspectTable::IsSuspected(const RequestId& aRequest, Instant aNow) const
{
  const Entry* entry = Find(aRequest, aNow);
  return entry != nullptr && entry->m_crashes > entry->m_cleared;
}

std::uint32_t
SuspectTable::Crashes(const RequestId& aRequest) const
{
  const auto entry = m_entries.find(aRequest);
  return entry == m_entries.end() ? 0 : entry->second.m_crashes;
}

std::vector<Suspect>
SuspectTable::Recent(Instant aNow, std::size_t aLimit) const
{
  std::vector<Suspect> suspects;
  for (const auto& [request, entry] : m_entries) {
    if (entry.m_until > aNow) {
      suspects.push_back(
        { request, entry.m_crashes, entry.m_until - aNow, entry.m_cleared });
    }
  }
  std::sort(suspects.begin(),
            suspects.end(),
            [](const Suspect& aFirst, const Suspect& aSecond) {
              return std::tie(aSecond.m_remaining, aFirst.m_request) <
                     std::tie(aFirst.m_remaining, aSecond.m_request);
            });
  suspects.resize(std::min(suspects.size(), aLimit));
  return suspects;
}

const SuspectTable::Entry*
SuspectTable::Find(const RequestId& aRequest, Instant aNow) const
{
  const auto entry = m_entries.find(aRequest);
  return entry != m_entries.end() && entry->second.m_until > aNow
           ? &entry->second
           : nullptr;
}

SuspectTable::Entry&
SuspectTable::FindOrAdd(const RequestId& aRequest, Instant aNow)
{
  if (m_entries.size() >= kEntryLimit && !m_entries.contains(aRequest)) {
    Advance(aNow);
  }
  if (m_entries.size() >= kEntryLimit && !m_entries.contains(aRequest)) {
    EvictOne();
  }
  Entry& entry = m_entries[aRequest];
  if (entry.m_until <= aNow) {
    entry = {};
  }
  return entry;
}

void
SuspectTable::EvictOne()
{
  const auto evicted = std::min_element(
    m_entries.begin(),
    m_entries.end(),
    [](const auto& aFirst, const auto& aSecond) {
      return std::tie(aFirst.second.m_crashes, aFirst.second.m_until) <
             std::tie(aSecond.second.m_crashes, aSecond.second.m_until);
    });
  m_entries.erase(evicted);
}

}
