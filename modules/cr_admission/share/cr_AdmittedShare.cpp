#include "cr_admission/share/cr_AdmittedShare.h"

#include <algorithm>
#include <cmath>

namespace cr {

namespace {

constexpr Duration kInterval = Milliseconds(250);
/* Bounds of one step. The fall is bounded since a load may be a moment's; the
   rise, so that a share that was far too low does not overshoot. */
constexpr double kGreatestFall = 0.75;
constexpr double kGreatestRise = 1.08;
/* With no news of the load the share is raised a little, to get some. */
constexpr double kBlindRise = 1.02;
/* A few requests always pass, so that the load is known. */
constexpr double kLeastShare = 0.02;
/* Weight of one more request in the part that returns. */
constexpr double kReturningGain = 0.02;

}

void
AdmittedShare::Learn(double aLoad, Instant aNow)
{
  Advance(aNow);
  m_loadSum += aLoad;
  ++m_loadCount;
}

bool
AdmittedShare::Admit(const ShareRequest& aRequest, Instant aNow)
{
  Advance(aNow);
  m_returning +=
    kReturningGain * ((aRequest.m_isReturning ? 1 : 0) - m_returning);
  if (m_share >= 1) {
    return true;
  }
  if (aRequest.m_isReturning) {
    return aRequest.m_unit * m_returning < m_share;
  }
  const double left = std::max(0.0, m_share - m_returning);
  return aRequest.m_unit * (1 - m_returning) < left;
}

void
AdmittedShare::Advance(Instant aNow)
{
  if (aNow < m_intervalEnd) {
    return;
  }
  m_intervalEnd = aNow + kInterval;
  if (m_loadCount == 0) {
    m_share = std::min(1.0, m_share * kBlindRise);
    return;
  }
  const double load = std::max(m_loadSum / m_loadCount, 0.01);
  const double step =
    std::clamp(std::sqrt(m_target / load), kGreatestFall, kGreatestRise);
  m_share = std::clamp(m_share * step, kLeastShare, 1.0);
  m_loadSum = 0;
  m_loadCount = 0;
}

}
