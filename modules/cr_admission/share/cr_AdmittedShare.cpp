#include "cr_admission/share/cr_AdmittedShare.h"

#include <algorithm>
#include <cmath>

#include "cr_admission/share/cr_OfferedLoad.h"

namespace cr {

namespace {

constexpr Duration kInterval = Milliseconds(250);
/* Part of the way to the wanted share, in its logarithm, that one step goes. */
constexpr double kDamping = 0.9;
/* Bounds of one step against the present share. */
constexpr double kGreatestFall = 0.6;
constexpr double kGreatestRise = 1.6;
/* Time after which a changed share shows in the load that is told: the mean of
   the load, and this multiple of the time that requests take, on whose way the
   work spreads and the news returns. */
constexpr Duration kMeanLag = OfferedLoad::kWindow;
constexpr int kLatencyLagTenths = 15;
/* Below this part of the target the load has room for the steps that are still
   on their way. */
constexpr double kFreeLoad = 0.7;
/* Requests that queue for longer are themselves a sign that the share has been
   too great for that long; there is no use in looking further back. */
constexpr Duration kLongestLag = Milliseconds(1200);
/* Steps that are remembered; older ones can't be the cause of a load. */
constexpr std::size_t kStepLimit = 12;
/* With no news of the load the share is raised a little, to get some. */
constexpr double kBlindRise = 1.02;
/* A few requests always pass, so that the load is known. */
constexpr double kLeastShare = 0.02;
/* Weight of one more request in the part that returns. */
constexpr double kReturningGain = 0.02;

}

void
AdmittedShare::Learn(double aLoad, Duration aLatency, Instant aNow)
{
  Advance(aNow);
  m_loadSum += aLoad;
  m_latencySum += aLatency;
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
  double wanted = m_share * kBlindRise;
  if (m_loadCount > 0) {
    const double load = std::max(m_loadSum / m_loadCount, 0.01);
    const Duration lag =
      std::min(kMeanLag + m_latencySum / m_loadCount * kLatencyLagTenths / 10,
               kLongestLag);
    const double cause = load < kFreeLoad * m_target
                           ? std::max(m_share, ShareAt(aNow - lag))
                           : ShareAt(aNow - lag);
    wanted = cause * std::pow(m_target / load, kDamping);
  }
  wanted = std::clamp(wanted, m_share * kGreatestFall, m_share * kGreatestRise);
  m_share = std::clamp(wanted, kLeastShare, 1.0);
  m_loadSum = 0;
  m_latencySum = Duration::zero();
  m_loadCount = 0;
  m_steps.push_back({ aNow, m_share });
  if (m_steps.size() > kStepLimit) {
    m_steps.pop_front();
  }
}

double
AdmittedShare::ShareAt(Instant aTime) const
{
  const auto step =
    std::find_if(m_steps.rbegin(), m_steps.rend(), [&](const Step& aStep) {
      return aStep.m_since <= aTime;
    });
  if (step != m_steps.rend()) {
    return step->m_share;
  }
  return m_steps.empty() ? m_share : m_steps.front().m_share;
}

}
