#pragma once

#include <cmath>

#include "cr_core/cr_core.h"

namespace cr {

/** A sum whose terms decay exponentially over a window, so that the sum divided
    by the window is their rate. Not thread safe. */
class DecayingSum
{
public:
  /** Precondition: aWindow is greater than 0. */
  explicit DecayingSum(Duration aWindow)
    : m_window(aWindow)
  {
  }

  /** Adds a term. */
  void Add(double aTerm, Instant aNow)
  {
    m_sum = Value(aNow) + aTerm;
    m_updated = aNow;
  }

  //==========================================================================
  /** Returns the decayed sum. */
  double Value(Instant aNow) const
  {
    return m_sum * std::exp(-ToSeconds(aNow - m_updated) / ToSeconds(m_window));
  }

private:
  Duration m_window;
  double m_sum = 0;
  Instant m_updated;
};

}
