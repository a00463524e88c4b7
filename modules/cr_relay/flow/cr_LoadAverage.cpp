#include "cr_relay/flow/cr_LoadAverage.h"

#include <algorithm>
#include <cmath>

namespace cr {

namespace {

/* Time over which told loads are averaged: some tens of answers on a busy
   route, and shorter than the steps of the share that follows them. */
constexpr double kAverageSeconds = 0.15;
/* Time in which a load without news falls to a third. */
constexpr double kFadeSeconds = 2.0;

}

void
LoadAverage::Learn(double aLoad, Instant aNow)
{
  if (m_learnt == Instant::min()) {
    m_value = aLoad;
  } else {
    // A load told long after the last one counts nearly alone; of many told at
    // the same time each counts a little.
    constexpr double leastGain = 0.02;
    const double age = ToSeconds(aNow - m_learnt);
    const double gain =
      std::max(leastGain, 1 - std::exp(-age / kAverageSeconds));
    m_value += gain * (aLoad - m_value);
  }
  m_learnt = aNow;
}

double
LoadAverage::Value(Instant aNow) const
{
  if (m_learnt == Instant::min()) {
    return 0;
  }
  return m_value * std::exp(-ToSeconds(aNow - m_learnt) / kFadeSeconds);
}

}
