#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cr_core/cr_core.h"

namespace cr {

/** Version of a table row; 0 means that the row does not exist. Every write of
    a row increases its version. */
using RowVersion = std::uint64_t;

/** Number of times that the platform has restored its tables from an older
   copy. Acknowledged writes may be lost and versions may be given out again
   each time, so versions of different eras can't be compared. */
using StoreEra = std::uint64_t;

/** Identifies a row by its table and its key within the table. */
struct RowKey
{
  std::string m_table;
  std::string m_key;

  auto operator<=>(const RowKey&) const = default;
};

/** A stored row. */
struct Row
{
  std::string m_key;
  std::string m_value;
  RowVersion m_version = 0;
};

/** Condition of a transaction: the row must have the given version. */
struct RowCondition
{
  RowKey m_row;
  RowVersion m_version = 0;
};

/** One write of a transaction; without a value the row is deleted. */
struct RowWrite
{
  RowKey m_row;
  std::optional<std::string> m_value;
};

/** Writes several rows atomically if all conditions hold. */
struct TransactRequest
{
  std::vector<RowCondition> m_conditions;
  std::vector<RowWrite> m_writes;
};

/** Reads one page of a table in key order, starting after the key m_after. */
struct ScanRequest
{
  std::string m_table;
  std::string m_after;
  std::uint32_t m_limit = 100;
  /** Restricts the page to keys with this prefix. */
  std::string m_prefix;
};

/** Reads one row. */
struct ReadRequest
{
  RowKey m_row;
};

/** Stores an immutable object under its name. */
struct PutObjectRequest
{
  std::string m_name;
  std::string m_content;
};

/** Fetches an object. */
struct GetObjectRequest
{
  std::string m_name;
};

/** Requests the rows of a table that changed after a version; waits for a
    change when there is none yet. */
struct WatchRequest
{
  std::string m_table;
  RowVersion m_after = 0;
  /** Max time to wait before an answer without changes. */
  Duration m_wait = Duration::zero();
};

/** Any request to the platform. */
using StoreRequest = std::variant<TransactRequest,
                                  ScanRequest,
                                  ReadRequest,
                                  PutObjectRequest,
                                  GetObjectRequest,
                                  WatchRequest>;

/** All conditions held and every write took effect. */
struct Committed
{};

/** At least one condition did not hold; nothing was written. */
struct ConditionFailed
{
  /** Rows whose version differed, with the versions found. */
  std::vector<RowCondition> m_found;
};

/** One page of rows. */
struct RowPage
{
  std::vector<Row> m_rows;
  bool m_more = false;
  /** Latest version of any row at the time of this page. Changes made after the
      first page was read can be watched from that page's version. */
  RowVersion m_version = 0;
};

/** A row that changed. */
struct RowChange
{
  Row m_row;
  /** The row was deleted and has no value. */
  bool m_isRemoved = false;
};

/** Changed rows ordered by version; each row appears once, in its current
    state. */
struct RowChanges
{
  std::vector<RowChange> m_changes;
  /** The version to continue watching from. */
  RowVersion m_version = 0;
};

/** The changes after the version are no longer available; the table must be
    scanned again. */
struct HistoryLost
{};

/** The row, if it exists. */
struct RowFound
{
  std::optional<Row> m_row;
};

/** The object, if it exists. */
struct ObjectFound
{
  std::optional<std::string> m_content;
};

/** The platform refused the request for now; nothing was done. */
struct StoreRefused
{
  std::string m_text;
};

/** The platform gave no answer because of an outage, a timeout or a lost
    answer. A write may or may not have taken effect. */
struct StoreFailed
{
  std::string m_text;
};

/** Answer of the platform to a StoreRequest. */
using StoreAnswer = std::variant<Committed,
                                 ConditionFailed,
                                 RowPage,
                                 RowFound,
                                 ObjectFound,
                                 RowChanges,
                                 HistoryLost,
                                 StoreRefused,
                                 StoreFailed>;

/** Sends a request to the platform and waits for the answer. For programs that
    may block; nodes use store actions and events instead. */
using StoreCall = std::function<StoreAnswer(const StoreRequest&)>;

}
