#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "cr_core/cr_core.h"

namespace cr {

/** Remembers how many attempts are left to customer requests that ended, so
   that a resend goes on with the same total.

    A total is remembered for a window after the request's last end, and at most
    as many as the limit; beyond it the oldest is forgotten, and a resend of
   that request starts a new total. Not thread safe. */
class RequestTotals
{
public:
  /** Sets the limit. Precondition: aLimit > 0. */
  explicit RequestTotals(std::size_t aLimit);

  //==========================================================================
  /** Remembers what a request that ended has left. */
  void Close(const RequestId& aRequest, std::uint32_t aLeft, Instant aNow);

  //==========================================================================
  /** Returns what is left to the request, or the given total when the request
      is not remembered. */
  std::uint32_t Left(const RequestId& aRequest,
                     std::uint32_t aTotal,
                     Instant aNow) const;

private:
  struct Entry
  {
    std::uint32_t m_left = 0;
    Instant m_until;
  };

  struct Order
  {
    RequestId m_request;
    Instant m_until;
  };

  void ForgetOldest();

  std::size_t m_limit;
  std::unordered_map<RequestId, Entry> m_entries;
  std::deque<Order> m_order;
};

}
