#include "cr_admission/share/cr_InFlightBound.h"

#include <algorithm>
#include <cmath>

namespace cr {

namespace {

constexpr Duration kInterval = Milliseconds(100);
constexpr double kGrowth = 2;
/* The bound grows up to this multiple of the requests in progress; a share that
   is in order never meets it. */
constexpr double kHeadroom = 3;
/* Loads up to this multiple of the target are the share's to correct. */
constexpr double kCrowded = 1.15;
/* Damping of a step down, in the logarithm of the load. */
constexpr double kDamping = 0.5;

}

void
InFlightBound::Begin()
{
  ++m_inFlight;
  m_mostInFlight = std::max(m_mostInFlight, m_inFlight);
}

void
InFlightBound::End()
{
  m_inFlight = std::max(0, m_inFlight - 1);
}

void
InFlightBound::Learn(double aLoad, double aTarget, Instant aNow)
{
  m_loadSum += aLoad;
  ++m_loadCount;
  if (aNow >= m_intervalEnd) {
    EndInterval(aTarget);
    m_intervalEnd = aNow + kInterval;
  }
}

void
InFlightBound::EndInterval(double aTarget)
{
  const double load = m_loadSum / m_loadCount;
  const double most = m_mostInFlight;
  if (load <= aTarget) {
    const double useful = std::max(m_bound, kHeadroom * most + kLeast);
    m_bound = std::min(kGrowth * m_bound, useful);
  } else if (load > kCrowded * aTarget) {
    m_bound = std::max(
      kLeast, std::min(m_bound, most) * std::pow(aTarget / load, kDamping));
  }
  m_mostInFlight = m_inFlight;
  m_loadSum = 0;
  m_loadCount = 0;
}

}
