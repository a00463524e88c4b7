#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cr_store/follow/cr_StoreBackoff.h"
#include "cr_store/table/cr_StoreRequest.h"

namespace cr {

/** Changes of a table. */
struct TableChanges
{
  std::vector<RowChange> m_changes;
  /** Whether m_changes holds every row of the table; rows not in it no longer
      exist. */
  bool m_isSnapshot = false;
};

/** Keeps a copy of a table up to date. It scans the whole table once, then
    watches it for changes with one call at a time, and rescans it when the
    platform no longer has the change history. While changes follow one another
    rapidly, as when a fleet starts, it delays its calls so that one call
    returns several changes. The owner restarts it in a new era of the
    platform. Not thread safe. */
class TableFollower
{
public:
  /** Max time that the platform is asked to wait for a change. */
  static constexpr Duration kMaxWatchWait = Seconds(20);
  /** The same after a failure; doubles with each answer. A platform that fails
      may not answer the next watch either, even after it has recovered. */
  static constexpr Duration kWatchWaitAfterFailure = Seconds(1);

  TableFollower(std::string aTable, std::uint64_t aSeed);

  //==========================================================================
  /** Returns the call to make now; nothing while a call is pending or none is
      due. Each call must be followed by HandleAnswer() with its answer. */
  std::optional<StoreRequest> NextCall(Instant aNow);

  /** Processes the answer to the latest call and returns the changes in it. */
  TableChanges HandleAnswer(const StoreAnswer& aAnswer, Instant aNow);

  /** Scans the table again, because versions read so far are no longer valid.
      The answer to a pending call must not be passed to HandleAnswer(). */
  void Restart(Instant aNow);

  /** Abandons the pending call and makes it again if it was made before the
      time; its answer must not be passed to HandleAnswer(). Returns whether
      there was such a call. */
  bool RepeatCallFrom(Instant aBefore);

  //==========================================================================
  /** Returns the time at which NextCall() is next due; nothing while a call is
      pending. */
  std::optional<Instant> NextWakeup() const;

  /** Returns whether the whole table has been read at least once. */
  bool IsLoaded() const { return m_isLoaded; }

  /** Returns whether a scan of the whole table is due or in progress. */
  bool IsScanning() const { return m_isScanning; }

  /** Returns whether the table is loaded and the last completed call
      succeeded. */
  bool IsConnected() const { return m_isLoaded && m_backoff.Failures() == 0; }

  /** Returns the version up to which the table has been read. */
  RowVersion Version() const { return m_version; }

private:
  TableChanges HandlePage(const RowPage& aPage);
  void StartScan();
  void DelayToBatchChanges(Instant aNow);

  std::string m_table;
  StoreBackoff m_backoff;
  bool m_isCallPending = false;
  Instant m_callStart = Instant::min();
  /* Consecutive calls that returned changes after a short time. */
  int m_rapidChanges = 0;
  bool m_isLoaded = false;
  /* A scan of the whole table is in progress. */
  bool m_isScanning = true;
  std::string m_scanAfter;
  TableChanges m_scanned;
  RowVersion m_version = 0;
  Duration m_watchWait = kMaxWatchWait;
};

}
