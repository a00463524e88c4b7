#include "cr_admission/gate/cr_AdmissionThreshold.h"

#include <algorithm>

namespace cr {

namespace {

constexpr Duration kInterval = Milliseconds(50);
constexpr std::uint32_t kRaiseDivisor = 16;
constexpr std::size_t kLongQueueDivisor = 2;
constexpr std::size_t kShortQueueDivisor = 3;
constexpr AdmissionLevel kMinStep = 16;
constexpr AdmissionLevel kMaxStep = 256;
constexpr AdmissionLevel kMaxLevel = RankOf(Importance::Protected, 0);

}

void
AdmissionThreshold::CountArrival(Rank aRank)
{
  ++m_arrivals.at(aRank / kBinWidth);
}

void
AdmissionThreshold::Advance(std::size_t aWaiting,
                            std::size_t aWaitingLimit,
                            Instant aNow)
{
  if (aNow < m_intervalEnd) {
    return;
  }
  const bool isLong = aWaiting > aWaitingLimit / kLongQueueDivisor;
  if (m_overflowed || (isLong && aWaiting >= m_lastWaiting)) {
    Raise();
  } else if (aWaiting <= aWaitingLimit / kShortQueueDivisor) {
    Lower();
  }
  m_arrivals.fill(0);
  m_overflowed = false;
  m_lastWaiting = aWaiting;
  m_intervalEnd = aNow + kInterval;
}

void
AdmissionThreshold::Reset()
{
  *this = AdmissionThreshold();
}

void
AdmissionThreshold::Raise()
{
  std::uint32_t admitted = 0;
  for (std::size_t bin = m_level / kBinWidth; bin < kBinCount; ++bin) {
    admitted += m_arrivals.at(bin);
  }
  std::uint32_t excess = std::max(1U, admitted / kRaiseDivisor);
  std::size_t bin = m_level / kBinWidth;
  while (bin < kBinCount && excess > 0) {
    excess -= std::min(excess, m_arrivals.at(bin));
    ++bin;
  }
  m_level = static_cast<AdmissionLevel>(
    std::min<std::size_t>(bin * kBinWidth, kMaxLevel));
  m_step = 0;
}

void
AdmissionThreshold::Lower()
{
  m_step = std::clamp<AdmissionLevel>(
    static_cast<AdmissionLevel>(m_step * 2), kMinStep, kMaxStep);
  m_level = static_cast<AdmissionLevel>(m_level - std::min(m_level, m_step));
}

}
