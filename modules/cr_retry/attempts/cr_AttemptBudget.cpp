#include "cr_retry/attempts/cr_AttemptBudget.h"

#include <cassert>

namespace cr {

std::uint32_t
AttemptBudget::Allocate(std::uint32_t aMinimum)
{
  assert(aMinimum > 0);
  if (m_available < aMinimum) {
    return 0;
  }
  const std::uint32_t spare = m_available - aMinimum;
  const std::uint32_t budget = aMinimum + spare / 2;
  m_available -= budget;
  return budget;
}

}
