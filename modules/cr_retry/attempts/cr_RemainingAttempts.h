#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "cr_core/cr_core.h"

namespace cr {

/** Keeps the remaining attempts of customer requests that have ended, so
    that a resend of the request continues with them.

    An entry is kept for 60 s after the request's last end. The number of
    entries is limited; beyond it the oldest is evicted, and a resend of that
    request starts with the full number. Not thread safe. */
class RemainingAttempts
{
public:
  /** Sets the maximum number of entries. Precondition: aLimit > 0. */
  explicit RemainingAttempts(std::size_t aLimit);

  //==========================================================================
  /** Records the remaining attempts of a request that ended. */
  void Record(const RequestId& aRequest,
              std::uint32_t aRemaining,
              Instant aNow);

  //==========================================================================
  /** Returns the remaining attempts of the request, or aTotal when the request
      has no entry. */
  std::uint32_t Remaining(const RequestId& aRequest,
                          std::uint32_t aTotal,
                          Instant aNow) const;

private:
  struct Entry
  {
    std::uint32_t m_remaining = 0;
    Instant m_until;
  };

  struct Order
  {
    RequestId m_request;
    Instant m_until;
  };

  void EvictOldest();

  std::size_t m_limit;
  std::unordered_map<RequestId, Entry> m_entries;
  std::deque<Order> m_order;
};

}
