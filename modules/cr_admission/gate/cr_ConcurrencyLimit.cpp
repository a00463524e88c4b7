#include "cr_admission/gate/cr_ConcurrencyLimit.h"

#include <algorithm>
#include <cassert>

namespace cr {

namespace {

constexpr std::size_t kOperationLimit = 256;
/* One call and a child call that it waits for. */
constexpr double kMinLimit = 2.0;
constexpr double kInitialShare = 0.25;
constexpr double kSlowRatio = 2.0;
constexpr double kIncreaseShare = 0.125;
constexpr double kBestTimeDrift = 0.001;

}

void
ConcurrencyLimit::Restart(std::uint32_t aSlots)
{
  assert(aSlots > 0);
  m_slots = aSlots;
  m_limit = std::max(kMinLimit, kInitialShare * aSlots);
  m_isStarting = true;
  m_samples = 0;
  m_ratioSum = 0.0;
  m_bestTimes.clear();
}

void
ConcurrencyLimit::SetSlots(std::uint32_t aSlots)
{
  assert(aSlots > 0);
  m_slots = aSlots;
  m_limit = std::min(m_limit, static_cast<double>(aSlots));
}

void
ConcurrencyLimit::RecordTime(const OperationName& aOperation, Duration aOwnTime)
{
  const auto sample = static_cast<double>(std::max<long>(1, aOwnTime.count()));
  auto best = m_bestTimes.find(aOperation);
  if (best == m_bestTimes.end()) {
    if (m_bestTimes.size() >= kOperationLimit) {
      return;
    }
    best = m_bestTimes.emplace(aOperation, sample).first;
  }
  best->second = std::min(sample, best->second * (1.0 + kBestTimeDrift));
  m_ratioSum += sample / best->second;
  if (++m_samples >= Limit()) {
    EndRound();
  }
}

std::uint32_t
ConcurrencyLimit::Limit() const
{
  return std::clamp<std::uint32_t>(
    static_cast<std::uint32_t>(m_limit), 1, m_slots);
}

void
ConcurrencyLimit::EndRound()
{
  const double ratio = m_ratioSum / m_samples;
  m_samples = 0;
  m_ratioSum = 0.0;
  if (ratio > kSlowRatio) {
    m_isStarting = false;
  } else if (std::exchange(m_wasReached, false)) {
    const double step =
      m_isStarting ? m_limit : std::max(1.0, m_limit * kIncreaseShare);
    m_limit = std::min<double>(m_slots, m_limit + step);
  }
}

}
