#pragma once

#include <cstdint>

namespace cr {

/** The attempts that one call may still allocate to attempts of its own.

    Allocations never exceed the total: attempts that an answer returns as
    unused can be allocated again, and an attempt whose answer is lost counts as
    having used its whole budget. Not thread safe. */
class AttemptBudget
{
public:
  /** Creates a budget of aTotal attempts. */
  explicit AttemptBudget(std::uint32_t aTotal = 0)
    : m_available(aTotal)
  {
  }

  /** Allocates a budget for an attempt: the minimum plus half of the remaining
      attempts. Returns 0, and allocates nothing, when fewer than the minimum
      are available. Precondition: aMinimum > 0. */
  std::uint32_t Allocate(std::uint32_t aMinimum);

  /** Returns unused attempts to the budget, as reported in an answer.
      Precondition: aUnused is not more than that attempt's budget. */
  void Release(std::uint32_t aUnused) { m_available += aUnused; }

  /** Returns the number of attempts that can still be allocated. */
  std::uint32_t Available() const { return m_available; }

private:
  std::uint32_t m_available;
};

}
