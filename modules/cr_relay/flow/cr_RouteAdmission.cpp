#include "cr_relay/flow/cr_RouteAdmission.h"

#include <algorithm>

namespace cr {

namespace {

/* Caller timeouts that differ by up to 1/50 count as equal, because some time
   passes on the way. */
constexpr int kTimeoutTolerance = 50;
/* A request with the typical caller timeout raises the confidence in it by the
   gain, up to the limit; any other request lowers it by 1. */
constexpr int kConfidenceGain = 2;
constexpr int kMaxConfidence = 64;

}

std::string_view
ToText(AdmissionLimit aLimit)
{
  switch (aLimit) {
    case AdmissionLimit::Share:
      return "share";
    case AdmissionLimit::InFlight:
      return "in-flight";
    case AdmissionLimit::None:
      break;
  }
  return "";
}

AdmissionLimit
RouteAdmission::Admit(std::optional<Duration> aCallerTimeout,
                      double aShare,
                      double aUnit)
{
  m_share = aShare;
  const bool isReturning = aCallerTimeout && IsReturning(*aCallerTimeout);
  if (!m_selection.Admit(aShare, { isReturning, aUnit })) {
    ++m_counts.m_aboveShare;
    return AdmissionLimit::Share;
  }
  if (!m_bound.HasCapacity()) {
    ++m_counts.m_aboveInFlight;
    return AdmissionLimit::InFlight;
  }
  ++m_counts.m_admitted;
  m_bound.Begin();
  return AdmissionLimit::None;
}

void
RouteAdmission::RecordLoad(double aLoad, Instant aNow)
{
  m_counts.m_loadSum += aLoad;
  ++m_counts.m_loads;
  m_bound.RecordLoad(aLoad, kTargetLoad, aNow);
}

//==============================================================================
/* Customers of a route have equal timeouts, so one that retries after a refusal
   has less time left than the others. */
bool
RouteAdmission::IsReturning(Duration aCallerTimeout)
{
  const Duration tolerance = m_typicalTimeout / kTimeoutTolerance;
  const bool isTypical = aCallerTimeout >= m_typicalTimeout - tolerance &&
                         aCallerTimeout <= m_typicalTimeout + tolerance;
  if (isTypical) {
    m_timeoutConfidence =
      std::min(m_timeoutConfidence + kConfidenceGain, kMaxConfidence);
  } else if (--m_timeoutConfidence < 0) {
    m_typicalTimeout = aCallerTimeout;
    m_timeoutConfidence = kConfidenceGain;
  }
  return !isTypical && aCallerTimeout < m_typicalTimeout;
}

}
