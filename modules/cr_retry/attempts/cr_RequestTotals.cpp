#include "cr_retry/attempts/cr_RequestTotals.h"

#include <cassert>

namespace cr {

namespace {

constexpr Duration kWindow = Seconds(60);

}

RequestTotals::RequestTotals(std::size_t aLimit)
  : m_limit(aLimit)
{
  assert(aLimit > 0);
}

void
RequestTotals::Close(const RequestId& aRequest,
                     std::uint32_t aLeft,
                     Instant aNow)
{
  while (!m_order.empty() && m_order.front().m_until <= aNow) {
    ForgetOldest();
  }
  m_entries[aRequest] = { aLeft, aNow + kWindow };
  m_order.push_back({ aRequest, aNow + kWindow });
  if (m_order.size() > m_limit) {
    ForgetOldest();
  }
}

std::uint32_t
RequestTotals::Left(const RequestId& aRequest,
                    std::uint32_t aTotal,
                    Instant aNow) const
{
  const auto entry = m_entries.find(aRequest);
  const bool isKnown = entry != m_entries.end() && entry->second.m_until > aNow;
  return isKnown ? entry->second.m_left : aTotal;
}

void
RequestTotals::ForgetOldest()
{
  const auto entry = m_entries.find(m_order.front().m_request);
  if (entry != m_entries.end() &&
      entry->second.m_until <= m_order.front().m_until) {
    m_entries.erase(entry);
  }
  m_order.pop_front();
}

}
