#include "cr_admission/share/cr_AdmittedShare.h"

#include <algorithm>
#include <cmath>

#include "cr_admission/share/cr_OfferedLoad.h"

namespace cr {

namespace {

constexpr Duration kInterval = Milliseconds(250);
/* Damping of a step, as an exponent of the load ratio. */
constexpr double kDamping = 0.9;
/* Bounds of one step, relative to the current share. */
constexpr double kMaxDecrease = 0.6;
constexpr double kMaxIncrease = 1.6;
/* Delay until a changed share affects the reported load: the averaging time of
   the load plus this multiple of the request latency, in which the requests
   reach the busiest server and the report returns. */
constexpr Duration kAveragingLag = OfferedLoad::kWindow;
constexpr int kLatencyLagTenths = 15;
/* Below this part of the target, the increases that do not show in the load yet
   are assumed to be safe. */
constexpr double kLowLoad = 0.7;
/* Upper bound on the delay. Requests that queue for longer show that the share
   has been too large for that long, so older shares are irrelevant. */
constexpr Duration kMaxLag = Milliseconds(1200);
/* Steps that are kept; older ones can't affect the current load. */
constexpr std::size_t kStepLimit = 12;
/* Without load reports the share is raised slightly, to admit requests whose
   answers report the load. */
constexpr double kNoReportIncrease = 1.02;
/* A few requests are always admitted, because only they report the load. */
constexpr double kMinShare = 0.02;
/* Capacity beyond the demand that is assumed at most, as a multiple of it. */
constexpr double kMaxShare = 4;

}

void
AdmittedShare::RecordLoad(double aLoad, Duration aLatency, Instant aNow)
{
  Advance(aNow);
  m_loadSum += aLoad;
  m_latencySum += aLatency;
  ++m_loadCount;
}

bool
AdmittedShare::Advance(Instant aNow)
{
  if (aNow < m_intervalEnd) {
    return false;
  }
  m_intervalEnd = aNow + kInterval;
  double desired = m_share * kNoReportIncrease;
  if (m_loadCount > 0) {
    const double load = std::max(m_loadSum / m_loadCount, 0.01);
    const Duration lag = std::min(kAveragingLag + m_latencySum / m_loadCount *
                                                    kLatencyLagTenths / 10,
                                  kMaxLag);
    const double earlierShare = load < kLowLoad * m_target
                                  ? std::max(Share(), ShareAt(aNow - lag))
                                  : ShareAt(aNow - lag);
    desired = earlierShare * std::pow(m_target / load, kDamping);
  }
  desired = std::clamp(desired, m_share * kMaxDecrease, m_share * kMaxIncrease);
  m_share = std::clamp(desired, kMinShare, kMaxShare);
  m_loadSum = 0;
  m_latencySum = Duration::zero();
  m_loadCount = 0;
  m_steps.push_back({ aNow, Share() });
  if (m_steps.size() > kStepLimit) {
    m_steps.pop_front();
  }
  return true;
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
  return m_steps.empty() ? Share() : m_steps.front().m_share;
}

}
