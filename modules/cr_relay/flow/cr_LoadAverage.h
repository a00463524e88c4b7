#pragma once

#include "cr_core/cr_core.h"

namespace cr {

/** Exponentially weighted average of the loads reported with answers. The value
    decays while no load is reported. Not thread safe. */
class LoadAverage
{
public:
  /** Adds a load that is reported at aNow. */
  void Record(double aLoad, Instant aNow);

  /** Returns the average; 0 if no load was reported yet. */
  double Value(Instant aNow) const;

private:
  double m_value = 0;
  Instant m_updated = Instant::min();
};

}
