#pragma once

#include "cr_core/cr_core.h"

namespace cr {

/** Mean of a load that was told with answers, over a short time; without news
    it fades. Not thread safe. */
class LoadAverage
{
public:
  /** Takes in a load that was told just now. */
  void Learn(double aLoad, Instant aNow);

  /** Returns the mean; 0 while nothing was told. */
  double Value(Instant aNow) const;

private:
  double m_value = 0;
  Instant m_learnt = Instant::min();
};

}
