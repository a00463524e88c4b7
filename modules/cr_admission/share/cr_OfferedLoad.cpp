#include "cr_admission/share/cr_OfferedLoad.h"

#include <cmath>

namespace cr {

namespace {

/* Kinds whose time is kept; those beyond count with no time. */
constexpr std::size_t kKindLimit = 4096;
/* Weight of one more measured time in the mean. */
constexpr double kTimeGain = 0.05;

}

void
OfferedLoad::CountArrival(const std::string& aKind, Instant aNow)
{
  m_work = Decayed(aNow);
  m_workAt = aNow;
  const auto time = m_times.find(aKind);
  if (time != m_times.end()) {
    m_work += time->second;
  }
}

void
OfferedLoad::LearnTime(const std::string& aKind, Duration aTime)
{
  const double sample = ToSeconds(aTime);
  m_meanTime += (m_meanTime > 0 ? kTimeGain : 1.0) * (sample - m_meanTime);
  const auto time = m_times.find(aKind);
  if (time != m_times.end()) {
    time->second += kTimeGain * (sample - time->second);
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
  return (Decayed(aNow) / ToSeconds(kWindow) + waiting / ToSeconds(kClearing)) /
         aLimit;
}

double
OfferedLoad::Decayed(Instant aNow) const
{
  return m_work * std::exp(-ToSeconds(aNow - m_workAt) / ToSeconds(kWindow));
}

}
