#include "cr_suspects/suspects/cr_SuspectTable.h"

#include <algorithm>
#include <tuple>

namespace cr {

namespace {

constexpr std::uint32_t kCrashesBeforeRefusal = 2;
constexpr std::uint32_t kCrashesBeyondClearing = 3;
/* The refusal time doubles at most this often, to about an hour. */
constexpr std::uint32_t kMaxDoublings = 6;
/* Part of the suspicion time over which tables spread the end of a refusal. */
constexpr double kRefusalEndSpread = 0.5;

}

SuspectTable::SuspectTable(std::uint64_t aSeed)
  : m_seed(aSeed)
{
}

void
SuspectTable::RecordCrash(std::span<const RequestKey> aRunning, Instant aNow)
{
  for (const RequestKey& request : aRunning) {
    Entry& entry = FindOrAdd(request, aNow);
    ++entry.m_crashes;
    entry.m_until = aNow + Lifetime(entry);
  }
}

bool
SuspectTable::Clear(const RequestKey& aRequest, Instant aNow)
{
  const auto entry = m_entries.find(aRequest);
  if (entry == m_entries.end()) {
    return false;
  }
  const bool wasSuspected = entry->second.m_crashes > entry->second.m_cleared;
  entry->second.m_cleared = entry->second.m_crashes;
  entry->second.m_until = aNow + Lifetime(entry->second);
  return wasSuspected;
}

void
SuspectTable::Merge(std::span<const Suspect> aSuspects, Instant aNow)
{
  for (const Suspect& suspect : aSuspects) {
    if (suspect.m_remaining <= Duration::zero()) {
      continue;
    }
    Entry& entry = FindOrAdd(suspect.m_key, aNow);
    entry.m_crashes = std::max(entry.m_crashes, suspect.m_crashes);
    entry.m_cleared =
      std::max(entry.m_cleared, std::min(suspect.m_cleared, entry.m_crashes));
    entry.m_until = std::max(
      entry.m_until, aNow + std::min(suspect.m_remaining, Lifetime(entry)));
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
SuspectTable::IsRefused(const RequestKey& aRequest, Instant aNow) const
{
  return RefusedFor(aRequest, aNow) > Duration::zero();
}

bool
SuspectTable::HasRefused(Instant aNow) const
{
  return std::any_of(
    m_entries.begin(), m_entries.end(), [&](const auto& aEntry) {
      return IsRefused(aEntry.first, aNow);
    });
}

Duration
SuspectTable::RefusedFor(const RequestKey& aRequest, Instant aNow) const
{
  const Entry* entry = FindEntry(aRequest, aNow);
  if (entry == nullptr || !HasCrashedTooOften(*entry)) {
    return Duration::zero();
  }
  constexpr std::uint64_t steps = 1024;
  const double share =
    static_cast<double>(Hash(aRequest.m_low, m_seed) % steps) /
    static_cast<double>(steps);
  const Instant end = entry->m_until - kSuspicionTime +
                      Scale(kSuspicionTime, kRefusalEndSpread * share);
  return std::max(Duration::zero(), end - aNow);
}

bool
SuspectTable::IsSuspected(const RequestKey& aRequest, Instant aNow) const
{
  const Entry* entry = FindEntry(aRequest, aNow);
  return entry != nullptr && entry->m_crashes > entry->m_cleared;
}

bool
SuspectTable::IsCleared(const RequestKey& aRequest, Instant aNow) const
{
  const Entry* entry = FindEntry(aRequest, aNow);
  return entry != nullptr && entry->m_crashes == entry->m_cleared;
}

std::uint32_t
SuspectTable::Crashes(const RequestKey& aRequest) const
{
  const auto entry = m_entries.find(aRequest);
  return entry == m_entries.end() ? 0 : entry->second.m_crashes;
}

std::optional<Suspect>
SuspectTable::Find(const RequestKey& aRequest, Instant aNow) const
{
  const Entry* entry = FindEntry(aRequest, aNow);
  if (entry == nullptr) {
    return std::nullopt;
  }
  return Suspect{
    aRequest, entry->m_crashes, entry->m_until - aNow, entry->m_cleared
  };
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
              return std::tie(aSecond.m_remaining, aFirst.m_key) <
                     std::tie(aFirst.m_remaining, aSecond.m_key);
            });
  suspects.resize(std::min(suspects.size(), aLimit));
  return suspects;
}

//==============================================================================
bool
SuspectTable::HasCrashedTooOften(const Entry& aEntry)
{
  return aEntry.m_crashes >= kCrashesBeyondClearing ||
         aEntry.m_crashes >= aEntry.m_cleared + kCrashesBeforeRefusal;
}

Duration
SuspectTable::Lifetime(const Entry& aEntry)
{
  if (!HasCrashedTooOften(aEntry)) {
    return kSuspicionTime;
  }
  const std::uint32_t doublings =
    std::min(aEntry.m_crashes - kCrashesBeforeRefusal, kMaxDoublings);
  return kRefusalTime * (1U << doublings) + kSuspicionTime;
}

const SuspectTable::Entry*
SuspectTable::FindEntry(const RequestKey& aRequest, Instant aNow) const
{
  const auto entry = m_entries.find(aRequest);
  return entry != m_entries.end() && entry->second.m_until > aNow
           ? &entry->second
           : nullptr;
}

SuspectTable::Entry&
SuspectTable::FindOrAdd(const RequestKey& aRequest, Instant aNow)
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
  const auto rank = [](const Entry& aEntry) {
    return std::make_tuple(
      aEntry.m_crashes - aEntry.m_cleared, aEntry.m_crashes, aEntry.m_until);
  };
  const auto evicted =
    std::min_element(m_entries.begin(),
                     m_entries.end(),
                     [&](const auto& aFirst, const auto& aSecond) {
                       return rank(aFirst.second) < rank(aSecond.second);
                     });
  m_entries.erase(evicted);
}

}
