#include "cr_admission/share/cr_ReturningFirst.h"

#include <algorithm>

namespace cr {

namespace {

/* Weight of a new request in the mean share of returning customers. */
constexpr double kReturningWeight = 0.02;

}

bool
ReturningFirst::Admit(double aShare, const ShareRequest& aRequest)
{
  m_returning +=
    kReturningWeight * ((aRequest.m_isReturning ? 1 : 0) - m_returning);
  if (aShare >= 1) {
    return true;
  }
  if (aRequest.m_isReturning) {
    return aRequest.m_uniform * m_returning < aShare;
  }
  const double left = std::max(0.0, aShare - m_returning);
  return aRequest.m_uniform * (1 - m_returning) < left;
}

}
