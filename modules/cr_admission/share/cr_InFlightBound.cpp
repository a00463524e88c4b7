#include "cr_admission/share/cr_InFlightBound.h"

#include <algorithm>
#include <cmath>

namespace cr {

namespace {

constexpr Duration kInterval = Milliseconds(100);
constexpr double kGrowthFactor = 2;
/* The bound grows up to this multiple of the requests in flight, so that it has
   no effect while the admitted share is correct. */
constexpr double kHeadroom = 3;
/* Loads up to this multiple of the target are corrected by AdmittedShare. */
constexpr double kOverloadRatio = 1.5;
/* Damping of a decrease, as an exponent of the load ratio. */
constexpr double kDamping = 0.5;

}

void
InFlightBound::Begin()
{
  ++m_inFlight;
  m_maxInFlight = std::max(m_maxInFlight, m_inFlight);
}

void
InFlightBound::End()
{
  m_inFlight = std::max(0, m_inFlight - 1);
}

void
InFlightBound::RecordLoad(double aLoad, double aTarget, Instant aNow)
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
  const double maxInFlight = m_maxInFlight;
  if (load <= aTarget) {
    const double growthLimit =
      std::max(m_bound, kHeadroom * maxInFlight + kMinBound);
    m_bound = std::min(kGrowthFactor * m_bound, growthLimit);
  } else if (load > kOverloadRatio * aTarget) {
    m_bound = std::max(kMinBound,
                       std::min(m_bound, maxInFlight) *
                         std::pow(aTarget / load, kDamping));
  }
  m_maxInFlight = m_inFlight;
  m_loadSum = 0;
  m_loadCount = 0;
}

}
