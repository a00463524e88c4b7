#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "cr_settings/json/cr_JsonDocument.h"

namespace cr {

/** Allowed range of an integer, both ends included. */
struct IntegerRange
{
  std::int64_t m_min = 0;
  std::int64_t m_max = 0;
};

/** Reads the members of one JSON object and collects findings: missing keys,
    wrong types, values out of range and, in Finish(), unknown keys.

    Not thread safe. The document and the findings must outlive the reader. */
class ObjectReader
{
public:
  /** Reads from the value. Adds a finding when it is not an object; it is then
      read as an empty one. */
  ObjectReader(const JsonDocument& aDocument,
               const Json::Value& aObject,
               Findings& aFindings);

  //==========================================================================
  /** Returns the string at the key. When it is missing, adds a finding and
      returns an empty string. */
  std::string ReadText(const std::string& aKey);

  /** Returns the string at the key, or the default when it is missing. Adds a
      finding when the value is not a non-empty string. */
  std::string ReadText(const std::string& aKey, std::string aDefault);

  /** Returns the integer at the key. When it is missing, not an integer or out
      of range, adds a finding and returns the minimum of the range. */
  std::int64_t ReadInteger(const std::string& aKey, IntegerRange aRange);

  /** Returns the integer at the key, or the default when it is missing. Adds a
      finding when the value is not an integer or out of range. */
  std::int64_t ReadInteger(const std::string& aKey,
                           IntegerRange aRange,
                           std::int64_t aDefault);

  /** Returns the Boolean at the key, or the default when it is missing. Adds a
      finding when the value is not a Boolean. */
  bool ReadBoolean(const std::string& aKey, bool aDefault);

  /** Returns the value at the key, or null when it is missing, and marks the
      key as read. */
  const Json::Value& ReadValue(const std::string& aKey);

  /** Adds a finding at the value of the key, or at the object when the key is
      missing. */
  void AddFinding(const std::string& aKey, std::string aText);

  //==========================================================================
  /** Adds a finding for each key that was not read. Call this last. */
  void Finish();

private:
  const JsonDocument& m_document;
  const Json::Value& m_object;
  Findings& m_findings;
  std::set<std::string> m_readKeys;
};

}
