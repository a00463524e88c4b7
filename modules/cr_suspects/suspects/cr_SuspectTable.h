#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "cr_core/cr_core.h"

namespace cr {

/** A request that ran in a backend server when the server died. */
struct Suspect
{
  RequestId m_request;
  /** Servers that died while they ran the request. */
  std::uint32_t m_deaths = 0;
  /** Time for which the suspicion still lasts. */
  Duration m_remaining = Duration::zero();
};

/** Which requests are suspects and which are refused.

    A request is refused once more than one server died running it. Not thread
    safe; nodes hold it in a Guarded. */
class SuspectTable
{
public:
  //==========================================================================
  /** Takes in that a server died while it ran these requests. */
  void ReportDeath(std::span<const RequestId> aRunning, Instant aNow);

  /** Takes in what another node tells. */
  void Learn(std::span<const Suspect> aSuspects, Instant aNow);

  /** Forgets suspicions that are over. */
  void Advance(Instant aNow);

  //==========================================================================
  /** Returns whether attempts for the request must be refused. */
  bool IsRefused(const RequestId& aRequest, Instant aNow) const;

  /** Returns at most aLimit suspicions that last, to be told to others. */
  std::vector<Suspect> Recent(Instant aNow, std::size_t aLimit) const;

private:
  struct Entry
  {
    std::uint32_t m_deaths = 0;
    Instant m_until;
  };

  std::unordered_map<RequestId, Entry> m_entries;
};

}
