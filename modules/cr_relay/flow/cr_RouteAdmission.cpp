#include "cr_relay/flow/cr_RouteAdmission.h"

#include <algorithm>
#include <array>

namespace cr {

namespace {

/* Load that a route's share aims at, by its priority; 0 is the most urgent and
   refused last. Beyond the last one all are alike. */
constexpr std::array<double, 3> kShareTargets = { 1.4, 1.3, 0.95 };
/* Two patiences that differ by less than one part in so many are the same: some
   of it passes on the way. */
constexpr int kPatienceTolerance = 50;
/* Weight of a request that has the usual patience, and of one that has not, in
   finding out which patience is usual. */
constexpr int kUsualGain = 2;
constexpr int kUsualLimit = 64;

double
TargetOf(const RouteDescription& aRoute)
{
  return kShareTargets.at(
    std::min<std::size_t>(aRoute.m_priority, kShareTargets.size() - 1));
}

}

bool
RouteAdmission::Admit(const RouteDescription& aRoute,
                      std::optional<Duration> aPatience,
                      double aUnit,
                      Instant aNow)
{
  m_share.SetTarget(TargetOf(aRoute));
  const bool isReturning = aPatience && IsReturning(*aPatience);
  const bool isLetIn =
    m_share.Admit({ isReturning, aUnit }, aNow) && m_bound.HasCapacity();
  if (isLetIn) {
    m_bound.Begin();
  }
  return isLetIn;
}

void
RouteAdmission::Learn(const RouteDescription& aRoute,
                      double aLoad,
                      Duration aLatency,
                      Instant aNow)
{
  m_bound.RecordLoad(aLoad, TargetOf(aRoute), aNow);
  // No load at all is no news for the share, which would rise.
  if (aLoad > 0) {
    m_share.RecordLoad(aLoad, aLatency, aNow);
  }
}

//==============================================================================
/* Customers of a route wait equally long; one that was refused has less time
   left when it returns. */
bool
RouteAdmission::IsReturning(Duration aPatience)
{
  const Duration tolerance = m_usualPatience / kPatienceTolerance;
  const bool isUsual = aPatience >= m_usualPatience - tolerance &&
                       aPatience <= m_usualPatience + tolerance;
  if (isUsual) {
    m_usualCount = std::min(m_usualCount + kUsualGain, kUsualLimit);
  } else if (--m_usualCount < 0) {
    m_usualPatience = aPatience;
    m_usualCount = kUsualGain;
  }
  return !isUsual && aPatience < m_usualPatience;
}

}
