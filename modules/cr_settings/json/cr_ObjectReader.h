#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "cr_settings/json/cr_JsonDocument.h"

namespace cr {

/** Allowed range of a whole number, both ends included. */
struct IntegerRange
{
  std::int64_t m_least = 0;
  std::int64_t m_greatest = 0;
};

/** Reads one JSON object key by key and collects findings: missing keys, wrong
    types, values out of range, and, at Finish(), keys that nobody asked for.

    Not thread safe. The document and the findings must outlive the reader. */
class ObjectReader
{
public:
  /** Starts on a value; a finding is added when it is not an object. */
  ObjectReader(const JsonDocument& aDocument,
               const Json::Value& aObject,
               Findings& aFindings);

  //==========================================================================
  /** Returns the text at the key; a finding and an empty text when missing. */
  std::string ReadText(const std::string& aKey);

  /** Returns the text at the key, or the default when missing. */
  std::string ReadText(const std::string& aKey, std::string aDefault);

  /** Returns the number at the key; a finding when missing, not a whole number
      or out of range. */
  std::int64_t ReadInteger(const std::string& aKey, IntegerRange aRange);

  /** Returns the number at the key, or the default when missing. */
  std::int64_t ReadInteger(const std::string& aKey,
                           IntegerRange aRange,
                           std::int64_t aDefault);

  /** Returns the truth value at the key, or the default when missing. */
  bool ReadBoolean(const std::string& aKey, bool aDefault);

  /** Returns the value at the key, or null when missing. The key counts as
      asked for. */
  const Json::Value& ReadValue(const std::string& aKey);

  /** Adds a finding at the value of the key, or at the object when missing. */
  void AddFinding(const std::string& aKey, std::string aText);

  //==========================================================================
  /** Adds a finding for each key that was not read. Call it last. */
  void Finish();

private:
  const JsonDocument& m_document;
  const Json::Value& m_object;
  Findings& m_findings;
  std::set<std::string> m_known;
};

}
