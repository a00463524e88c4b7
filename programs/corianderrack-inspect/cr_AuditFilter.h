#pragma once

#include <optional>
#include <string>

#include <json/json.h>

#include "cr_core/cr_core.h"

namespace cr {

/** Which rows of the audit trail an operator wants to see. */
struct AuditFilter
{
  /** Part of the key in front of the slash; empty for all kinds. */
  std::string m_kind;
  std::string m_operator;
  /** Rows of this time and later. */
  WallMilliseconds m_since = 0;
  /** The newest rows, at most so many. */
  std::size_t m_limit = 100;
};

/** A row of the audit trail. */
struct AuditEntry
{
  std::string m_key;
  Json::Value m_value;
};

/** Reads a row of the audit trail; the value must be an object. Thread safe. */
Expected<AuditEntry>
ParseAuditEntry(const std::string& aKey, const std::string& aValue);

/** Returns whether the filter lets the row through. Thread safe. */
bool
Matches(const AuditFilter& aFilter, const AuditEntry& aEntry);

/** Returns the row as one line: time, key, operator, then the other members.
    Thread safe. */
std::string
ToText(const AuditEntry& aEntry);

/** Returns the time as `2026-12-04T05:40:00Z`. Thread safe. */
std::string
ToText(WallMilliseconds aTime);

/** Reads a UTC time: `2026-12-04` or `2026-12-04T05:40:00`, with or without a Z
    at the end. Thread safe. */
Expected<WallMilliseconds>
ParseTime(const std::string& aText);

}
