#include "cr_relay/flow/cr_LoadAverage.h"

#include <algorithm>
#include <cmath>

namespace cr {

namespace {

/* Time constant of the average. Covers some tens of answers on a busy route,
   and is shorter than the update interval of the admitted share that depends on
   it. */
constexpr double kAverageSeconds = 0.15;
/* Time in which the value falls to about a third (1/e) without new samples. */
constexpr double kDecaySeconds = 2.0;

}

void
LoadAverage::Record(double aLoad, Instant aNow)
{
  if (m_updated == Instant::min()) {
    m_value = aLoad;
  } else {
    // A sample long after the previous one nearly replaces the average; of many
    // samples at the same time each has a small weight.
    constexpr double minGain = 0.02;
    const double age = ToSeconds(aNow - m_updated);
    const double gain = std::max(minGain, 1 - std::exp(-age / kAverageSeconds));
    m_value += gain * (aLoad - m_value);
  }
  m_updated = aNow;
}

double
LoadAverage::Value(Instant aNow) const
{
  if (m_updated == Instant::min()) {
    return 0;
  }
  return m_value * std::exp(-ToSeconds(aNow - m_updated) / kDecaySeconds);
}

}
