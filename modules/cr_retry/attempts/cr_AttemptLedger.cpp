#include "cr_retry/attempts/cr_AttemptLedger.h"

#include <cassert>

namespace cr {

std::uint32_t
AttemptLedger::Draw(std::uint32_t aWanted)
{
  assert(aWanted > 0);
  if (m_available < aWanted) {
    return 0;
  }
  const std::uint32_t spare = m_available - aWanted;
  const std::uint32_t grant = aWanted + spare / 2;
  m_available -= grant;
  return grant;
}

}
