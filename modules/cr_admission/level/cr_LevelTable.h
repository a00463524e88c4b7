#pragma once

#include <map>
#include <optional>

#include "cr_core/cr_core.h"

namespace cr {

/** Admission levels of the operations that a node calls, as reported in
    answers. Lets the node refuse requests early that the gates would refuse.

    Levels decay when no answer arrives, and a call below the level is admitted
    as a probe at fixed intervals, so that recovery is detected quickly.
    Protected calls are never refused. Keeps at most 1024 operations; further
    ones have level 0. Not thread safe. */
class LevelTable
{
public:
  /** Updates the level of an operation from an answer. */
  void Update(const OperationName& aOperation,
              AdmissionLevel aLevel,
              Instant aNow);

  /** Returns whether a new request of the rank should be refused. A request
      that is admitted as a probe starts a new probe interval. */
  bool ShouldRefuse(const OperationName& aOperation, Rank aRank, Instant aNow);

  //==========================================================================
  /** Returns the level of an operation; 0 when it is unknown. */
  AdmissionLevel Level(const OperationName& aOperation, Instant aNow) const;

private:
  struct Entry
  {
    double m_level = 0.0;
    Instant m_lastReport;
    Instant m_nextProbe;
  };

  std::map<OperationName, Entry> m_entries;
};

}
