#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cr_store/follow/cr_StorePace.h"
#include "cr_store/table/cr_StoreRequest.h"

namespace cr {

/** News of a table. */
struct TableNews
{
  std::vector<RowChange> m_changes;
  /** The changes are all rows that the table has; others are gone. */
  bool m_isWhole = false;
};

/** Keeps a copy of a table up to date: reads it whole once, then waits for
    changes, one call at a time; reads it again when the platform has forgotten
    the changes. Where one change follows the other, as while a fleet starts, it
    rests between its calls, so that one call brings several. Not thread
    safe. */
class TableFollower
{
public:
  /** Longest time that the platform is asked to wait for a change. */
  static constexpr Duration kLongestWatch = Seconds(20);

  TableFollower(std::string aTable, std::uint64_t aSeed);

  //==========================================================================
  /** Returns the call to make now; nothing while one is under way or none is
      due. Each call must be followed by Take() with its answer. */
  std::optional<StoreRequest> NextCall(Instant aNow);

  /** Takes in the answer to the latest call. */
  TableNews Take(const StoreAnswer& aAnswer, Instant aNow);

  //==========================================================================
  /** Returns the time at which NextCall() has something to do; nothing while a
      call is under way. */
  std::optional<Instant> NextDue() const;

  /** Returns whether the table has been read whole at least once. */
  bool IsLoaded() const { return m_isLoaded; }

  /** Returns whether the latest call was answered. */
  bool IsInTouch() const { return m_isLoaded && m_pace.Failures() == 0; }

private:
  TableNews TakePage(const RowPage& aPage);
  void RestWhileChangesGather(Instant aNow);

  std::string m_table;
  StorePace m_pace;
  bool m_isCalling = false;
  Instant m_calledAt = Instant::min();
  /* Calls in a row that brought changes after a short time. */
  int m_quickChanges = 0;
  bool m_isLoaded = false;
  /* The table is being read whole. */
  bool m_isReading = true;
  std::string m_readAfter;
  TableNews m_read;
  RowVersion m_version = 0;
};

}
