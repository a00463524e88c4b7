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
    a row raises its version. */
using RowVersion = std::uint64_t;

/** Name of a row: its table and its key within the table. */
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

/** A transaction commits only when every named row has the given version. */
struct RowCondition
{
  RowKey m_row;
  RowVersion m_version = 0;
};

/** One write of a transaction; without a value the row is removed. */
struct RowWrite
{
  RowKey m_row;
  std::optional<std::string> m_value;
};

/** Writes several rows at once, or none of them. */
struct TransactRequest
{
  std::vector<RowCondition> m_conditions;
  std::vector<RowWrite> m_writes;
};

/** Reads one page of a table in key order, from after a key on. */
struct ScanRequest
{
  std::string m_table;
  std::string m_after;
  std::uint32_t m_limit = 100;
  /** Only rows whose keys begin so. */
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

/** Asks for the rows of a table that changed after a version, and waits for the
    first change. */
struct WatchRequest
{
  std::string m_table;
  RowVersion m_after = 0;
  /** Longest time until an answer without changes. */
  Duration m_wait = Duration::zero();
};

/** Anything that can be asked of the platform. */
using StoreRequest = std::variant<TransactRequest,
                                  ScanRequest,
                                  ReadRequest,
                                  PutObjectRequest,
                                  GetObjectRequest,
                                  WatchRequest>;

/** All conditions held; every write took effect. */
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
  /** Newest version of any row as of this page; what is newer than that of the
      first page can be watched from it. */
  RowVersion m_version = 0;
};

/** A row that changed. */
struct RowChange
{
  Row m_row;
  /** The row is gone; it has no value. */
  bool m_isRemoved = false;
};

/** Changed rows in the order of their versions; each row once, as it is now. */
struct RowChanges
{
  std::vector<RowChange> m_changes;
  /** The version to go on from. */
  RowVersion m_version = 0;
};

/** The changes after the version are forgotten; the table is to be read. */
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

/** The platform refused for now; nothing was done. */
struct StoreRefused
{
  std::string m_text;
};

/** The platform gave no answer: an outage, a timeout or a lost answer. A write
    may or may not have taken effect. */
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

/** Carries a request to the platform and waits for its answer. Used by programs
    that may block; nodes use store actions and events instead. */
using StoreCall = std::function<StoreAnswer(const StoreRequest&)>;

}
