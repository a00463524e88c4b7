#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "cr_core/cr_core.h"

namespace cr {

/** A request that ran in a backend server when the server died.

    Both counts only ever grow, so nodes merge them by taking the greater. */
struct Suspect
{
  /** Made by SuspectKey(). */
  RequestId m_request;
  /** Servers that died while they ran the request. */
  std::uint32_t m_deaths = 0;
  /** Time for which the suspicion still lasts. */
  Duration m_remaining = Duration::zero();
  /** Deaths up to this number are forgiven: the request completed after. */
  std::uint32_t m_cleared = 0;
};

/** Returns the identifier under which a request is suspected at one operation.
    Calls below a request share its identifier; the death of a server of one
    says nothing of the others. Thread safe. */
RequestId
SuspectKey(const RequestId& aRequest, const OperationName& aOperation);

/** Which requests are suspects and which are refused.

    A request that one server died of is suspected: it may be tried once more,
    apart from other suspects. It is refused once a second server died, and for
    good (while it is remembered) after the third, even if it completed in
    between. Not thread safe; nodes hold it in a Guarded. */
class SuspectTable
{
public:
  /** Time for which a request stays a suspect after the last server died. */
  static constexpr Duration kSuspicion = Seconds(60);

  /** Greatest number of requests remembered. Beyond it the one with the fewest
      deaths that ends first is forgotten. */
  static constexpr std::size_t kEntryLimit = 4096;

  //==========================================================================
  /** Takes in that a server died while it ran these requests. */
  void ReportDeath(std::span<const RequestId> aRunning, Instant aNow);

  /** Takes in that the request completed, which clears it of the deaths so
      far. */
  void Clear(const RequestId& aRequest, Instant aNow);

  /** Takes in what another node tells. */
  void Learn(std::span<const Suspect> aSuspects, Instant aNow);

  /** Forgets suspicions that are over. */
  void Advance(Instant aNow);

  //==========================================================================
  /** Returns whether attempts for the request must be refused. */
  bool IsRefused(const RequestId& aRequest, Instant aNow) const;

  /** Returns whether the request must run apart from other suspects. */
  bool IsSuspected(const RequestId& aRequest, Instant aNow) const;

  /** Returns the servers known to have died of the request, cleared or not. */
  std::uint32_t Deaths(const RequestId& aRequest) const;

  /** Returns at most aLimit suspicions that last, newest first, to be told to
      others. */
  std::vector<Suspect> Recent(Instant aNow, std::size_t aLimit) const;

private:
  struct Entry
  {
    std::uint32_t m_deaths = 0;
    std::uint32_t m_cleared = 0;
    Instant m_until;
  };

  const Entry* Find(const RequestId& aRequest, Instant aNow) const;
  Entry& FindOrAdd(const RequestId& aRequest, Instant aNow);
  void ForgetOne();

  std::unordered_map<RequestId, Entry> m_entries;
};

}
