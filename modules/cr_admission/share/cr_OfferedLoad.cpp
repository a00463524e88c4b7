#include "cr_admission/share/cr_OfferedLoad.h"

namespace cr {

namespace {

/* Kinds whose time is kept; arrivals of further ones add no work. */
constexpr std::size_t kKindLimit = 4096;
/* Weight of a new sample in the mean. */
constexpr double kSampleWeight = 0.05;

}

void
OfferedLoad::CountArrival(const std::string& aKind, Instant aNow)
{
  const auto time = m_times.find(aKind);
  if (time != m_times.end()) {
    m_work.Add(time->second, aNow);
  }
}

void
OfferedLoad::RecordTime(const std::string& aKind, Duration aTime)
{
  const double sample = ToSeconds(aTime);
  m_meanTime += (m_meanTime > 0 ? kSampleWeight : 1.0) * (sample - m_meanTime);
  const auto time = m_times.find(aKind);
  if (time != m_times.end()) {
    time->second += kSampleWeight * (sample - time->second);
  } else if (m_times.size() < kKindLimit) {
    m_times.emplace(aKind, sample);
  }
}

double
OfferedLoad::Load(std::uint32_t aLimit,
                  std::size_t aWaiting,
                  Instant aNow) const
{
  const double waiting = m_meanTime * static_cast<double>(aWaiting);
  return (m_work.Value(aNow) / ToSeconds(kWindow) +
          waiting / ToSeconds(kDrainTime)) /
         aLimit;
}

Duration
OfferedLoad::MeanTime(const std::string& aKind) const
{
  const auto time = m_times.find(aKind);
  return time != m_times.end() ? FromSeconds(time->second) : Duration::zero();
}

}
