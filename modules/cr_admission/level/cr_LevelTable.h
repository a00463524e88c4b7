#pragma once

#include <map>
#include <optional>

#include "cr_core/cr_core.h"

namespace cr {

/** Admission levels of the operations that a node calls, as answers report
   them, to refuse requests early that their gates would refuse.

    Levels fade when no answer arrives, and a call below the level is let
    through now and then, so that recovery is seen at once. Protected work is
    never refused. Keeps at most 1024 operations; those beyond have level 0. Not
    thread safe. */
class LevelTable
{
public:
  /** Takes in the level that an answer reported. */
  void Learn(const OperationName& aOperation,
             AdmissionLevel aLevel,
             Instant aNow);

  /** Returns whether a new request of the rank should be refused; counts the
      one that it lets through as a probe. */
  bool ShouldRefuse(const OperationName& aOperation, Rank aRank, Instant aNow);

  //==========================================================================
  /** Returns the level of an operation; 0 when nothing is known. */
  AdmissionLevel Level(const OperationName& aOperation, Instant aNow) const;

private:
  struct Entry
  {
    double m_level = 0.0;
    Instant m_reported;
    Instant m_nextProbe;
  };

  std::map<OperationName, Entry> m_entries;
};

}
