#pragma once

#include <optional>
#include <string>

#include <json/json.h>

#include "cr_core/cr_core.h"

namespace cr {

/** Criteria that select rows of the audit trail. */
struct AuditFilter
{
  /** The part of the key before the slash; empty selects all kinds. */
  std::string m_kind;
  std::string m_operator;
  /** Earliest time of the selected rows. */
  WallMilliseconds m_since = 0;
  /** Max number of rows; the newest are selected. */
  std::size_t m_limit = 100;
};

/** A row of the audit trail. */
struct AuditEntry
{
  std::string m_key;
  Json::Value m_value;
};

/** Parses a row of the audit trail. Fails unless the value is a JSON object.
    Thread safe. */
Expected<AuditEntry>
ParseAuditEntry(const std::string& aKey, const std::string& aValue);

/** Returns whether the filter selects the row. Ignores m_limit. Thread safe. */
bool
IsSelected(const AuditFilter& aFilter, const AuditEntry& aEntry);

/** Returns the row as one line: time, key, operator, then the other members.
    Thread safe. */
std::string
ToText(const AuditEntry& aEntry);

/** Returns the time as `2026-12-04T05:40:00Z`. Thread safe. */
std::string
ToText(WallMilliseconds aTime);

/** Parses a UTC time: `2026-12-04` or `2026-12-04T05:40:00`, with or without
    a Z at the end. Thread safe. */
Expected<WallMilliseconds>
ParseTime(const std::string& aText);

}
