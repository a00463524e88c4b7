#include "cr_retry/attempts/cr_RemainingAttempts.h"

#include <cassert>

namespace cr {

namespace {

constexpr Duration kWindow = Seconds(60);

}

RemainingAttempts::RemainingAttempts(std::size_t aLimit)
  : m_limit(aLimit)
{
  assert(aLimit > 0);
}

void
RemainingAttempts::Record(const RequestId& aRequest,
                          std::uint32_t aRemaining,
                          Instant aNow)
{
  while (!m_order.empty() && m_order.front().m_until <= aNow) {
    EvictOldest();
  }
  m_entries[aRequest] = { aRemaining, aNow + kWindow };
  m_order.push_back({ aRequest, aNow + kWindow });
  if (m_order.size() > m_limit) {
    EvictOldest();
  }
}

std::uint32_t
RemainingAttempts::Remaining(const RequestId& aRequest,
                             std::uint32_t aTotal,
                             Instant aNow) const
{
  const auto entry = m_entries.find(aRequest);
  const bool isKnown = entry != m_entries.end() && entry->second.m_until > aNow;
  return isKnown ? entry->second.m_remaining : aTotal;
}

void
RemainingAttempts::EvictOldest()
{
  const auto entry = m_entries.find(m_order.front().m_request);
  if (entry != m_entries.end() &&
      entry->second.m_until <= m_order.front().m_until) {
    m_entries.erase(entry);
  }
  m_order.pop_front();
}

}
