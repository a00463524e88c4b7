#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "cr_core/cr_core.h"

namespace cr {

/** A request that ran in a backend server when the server crashed.

    Both counts only increase, so nodes merge them by taking the maximum. */
struct Suspect
{
  /** Made by SuspectKey(). */
  RequestId m_request;
  /** Number of servers that crashed while they ran the request. */
  std::uint32_t m_crashes = 0;
  /** Time until the suspicion expires. */
  Duration m_remaining = Duration::zero();
  /** Number of crashes at the time when the request last completed; these no
      longer count. */
  std::uint32_t m_cleared = 0;
};

/** Returns the key of a request at one operation. Child calls share their
    request's identifier, but a crash in one operation does not make the
    request's other calls suspects. Thread safe. */
RequestId
SuspectKey(const RequestId& aRequest, const OperationName& aOperation);

/** Records which requests are suspects and which are refused.

    A request is a suspect after one server crash: it may run once more,
    isolated from other suspects. It is refused after a second crash, and after
    a third even if it completed in between, until its entry expires. Not thread
    safe; nodes hold it in a Guarded. */
class SuspectTable
{
public:
  /** Time for which a request stays a suspect after the last crash. */
  static constexpr Duration kSuspicionTime = Seconds(60);

  /** Maximum number of recorded requests. Beyond it the one with the fewest
      crashes, and of these the one that expires first, is evicted. */
  static constexpr std::size_t kEntryLimit = 4096;

  //==========================================================================
  /** Records that a server crashed while it ran these requests. */
  void RecordCrash(std::span<const RequestId> aRunning, Instant aNow);

  /** Records that the request completed, which clears it of the crashes so
      far. */
  void Clear(const RequestId& aRequest, Instant aNow);

  /** Merges the suspects that another node reports. */
  void Merge(std::span<const Suspect> aSuspects, Instant aNow);

  /** Removes expired suspicions. */
  void Advance(Instant aNow);

  //==========================================================================
  /** Returns whether attempts for the request must be refused. */
  bool IsRefused(const RequestId& aRequest, Instant aNow) const;

  /** Returns whether the request must run isolated from other suspects. */
  bool IsSuspected(const RequestId& aRequest, Instant aNow) const;

  /** Returns the number of known server crashes by the request, cleared ones
      included. */
  std::uint32_t Crashes(const RequestId& aRequest) const;

  /** Returns at most aLimit unexpired suspects, newest first, to be reported to
      other nodes. */
  std::vector<Suspect> Recent(Instant aNow, std::size_t aLimit) const;

private:
  struct Entry
  {
    std::uint32_t m_crashes = 0;
    std::uint32_t m_cleared = 0;
    Instant m_until;
  };

  const Entry* Find(const RequestId& aRequest, Instant aNow) const;
  Entry& FindOrAdd(const RequestId& aRequest, Instant aNow);
  void EvictOne();

  std::unordered_map<RequestId, Entry> m_entries;
};

}
