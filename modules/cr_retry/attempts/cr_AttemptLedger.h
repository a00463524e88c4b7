#pragma once

#include <cstdint>

namespace cr {

/** Counts the attempts that one call may still hand out to attempts below it.

    Grants never add up to more than the total: what an attempt's answer returns
    as unspent may be granted again, and an attempt whose answer is lost counts
    as having spent its whole grant. Not thread safe. */
class AttemptLedger
{
public:
  /** Starts with the attempts that may be handed out. */
  explicit AttemptLedger(std::uint32_t aTotal = 0)
    : m_available(aTotal)
  {
  }

  /** Takes out a grant: what is wanted and part of the spare attempts. Returns
      0 when fewer than wanted are left. Precondition: aWanted > 0. */
  std::uint32_t Draw(std::uint32_t aWanted);

  /** Puts back what an answer returned as unspent. Precondition: it is not more
      than that attempt's grant. */
  void Return(std::uint32_t aUnspent) { m_available += aUnspent; }

  /** Returns the attempts that may still be handed out. */
  std::uint32_t Available() const { return m_available; }

private:
  std::uint32_t m_available;
};

}
