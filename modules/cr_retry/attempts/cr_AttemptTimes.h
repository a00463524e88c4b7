#pragma once

#include <optional>

#include "cr_admission/share/cr_DecayingSum.h"
#include "cr_core/cr_core.h"

namespace cr {

/** Times of the answered attempts of one route, and from them the time after
    which an attempt without an answer counts as slow. Not thread safe. */
class AttemptTimes
{
public:
  /** Records an attempt that was answered with success. */
  void Record(Duration aTime, Instant aNow);

  //==========================================================================
  /** Returns the mean plus a multiple of the standard deviation of the recent
      times; nothing while too few are known. */
  std::optional<Duration> SlowAfter(Instant aNow) const;

private:
  /* Long enough that some seconds in which all servers are slow do not count as
     usual. */
  static constexpr Duration kWindow = Seconds(10);

  DecayingSum m_count{ kWindow };
  /* In seconds and their squares. */
  DecayingSum m_sum{ kWindow };
  DecayingSum m_squareSum{ kWindow };
};

}
