#pragma once

#include <atomic>
#include <cstdint>

namespace cr {

/** Bytes of response bodies in receipt over all exchanges of a client. All
    methods are thread safe. */
class HttpBodyBudget
{
public:
  /** Creates a budget of the given bytes. */
  explicit HttpBodyBudget(std::uint64_t aLimit)
    : m_limit(aLimit)
  {
  }

  /** Reserves bytes; returns false when the budget has fewer left. */
  bool TryReserve(std::uint64_t aBytes)
  {
    if (m_reserved.fetch_add(aBytes) + aBytes <= m_limit) {
      return true;
    }
    Release(aBytes);
    return false;
  }

  /** Returns reserved bytes to the budget. */
  void Release(std::uint64_t aBytes) { m_reserved -= aBytes; }

private:
  const std::uint64_t m_limit;
  std::atomic<std::uint64_t> m_reserved{ 0 };
};

}
