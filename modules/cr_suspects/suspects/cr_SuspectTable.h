#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "cr_core/cr_core.h"
#include "cr_suspects/key/cr_RequestKey.h"

namespace cr {

/** A request that ran in a backend server when the server crashed.

    Both counts only increase, so nodes merge them by taking the maximum. */
struct Suspect
{
  RequestKey m_key;
  /** Number of servers that crashed while they ran the request. */
  std::uint32_t m_crashes = 0;
  /** Time until the suspicion expires. */
  Duration m_remaining = Duration::zero();
  /** Number of crashes at the time when the request last completed; these no
      longer count. */
  std::uint32_t m_cleared = 0;

  bool operator==(const Suspect&) const = default;
};

/** Records which requests are suspects and which are refused.

    A request is a suspect after one server crash: it may run once more,
    isolated from other suspects. After a second crash, and after a third even
    if it completed in between, it is refused for kRefusalTime, which doubles
    with each further crash. Then it is a suspect for kSuspicionTime. Not thread
    safe; nodes hold it in a Guarded. */
class SuspectTable
{
public:
  /** Time for which a request stays a suspect after the last crash or the end
      of its refusal. */
  static constexpr Duration kSuspicionTime = Seconds(60);

  /** Time for which a request is refused after the second crash. */
  static constexpr Duration kRefusalTime = Seconds(60);

  /** Maximum number of recorded requests. Beyond it the one with the fewest
      crashes since it completed, and of these the one that expires first, is
      evicted. */
  static constexpr std::size_t kEntryLimit = 4096;

  /** Tables with different seeds end the refusal of a request at different
      times, so that not all hosts run it at once. */
  explicit SuspectTable(std::uint64_t aSeed = 0);

  //==========================================================================
  /** Records that a server crashed while it ran these requests. */
  void RecordCrash(std::span<const RequestKey> aRunning, Instant aNow);

  /** Records that the request completed, which clears it of the crashes so
      far. Returns whether it was a suspect. */
  bool Clear(const RequestKey& aRequest, Instant aNow);

  /** Merges the suspects that another node reports. */
  void Merge(std::span<const Suspect> aSuspects, Instant aNow);

  /** Removes expired suspicions. */
  void Advance(Instant aNow);

  //==========================================================================
  /** Returns whether attempts for the request must be refused. */
  bool IsRefused(const RequestKey& aRequest, Instant aNow) const;

  /** Returns whether attempts for any request must be refused. */
  bool HasRefused(Instant aNow) const;

  /** Returns for how long attempts for the request must be refused; zero if
      they need not be. */
  Duration RefusedFor(const RequestKey& aRequest, Instant aNow) const;

  /** Returns whether the request must run isolated from other suspects. */
  bool IsSuspected(const RequestKey& aRequest, Instant aNow) const;

  /** Returns whether the request was a suspect and has completed since. */
  bool IsCleared(const RequestKey& aRequest, Instant aNow) const;

  /** Returns the number of known server crashes by the request, cleared ones
      included. */
  std::uint32_t Crashes(const RequestKey& aRequest) const;

  /** Returns the record of the request, to be reported to another node. */
  std::optional<Suspect> Find(const RequestKey& aRequest, Instant aNow) const;

  /** Returns at most aLimit unexpired suspects to be reported to other nodes,
      those that expire last first. */
  std::vector<Suspect> Recent(Instant aNow, std::size_t aLimit) const;

private:
  struct Entry
  {
    std::uint32_t m_crashes = 0;
    std::uint32_t m_cleared = 0;
    Instant m_until;
  };

  static bool HasCrashedTooOften(const Entry& aEntry);
  static Duration Lifetime(const Entry& aEntry);
  const Entry* FindEntry(const RequestKey& aRequest, Instant aNow) const;
  Entry& FindOrAdd(const RequestKey& aRequest, Instant aNow);
  void EvictOne();

  std::uint64_t m_seed;
  std::unordered_map<RequestKey, Entry> m_entries;
};

}
