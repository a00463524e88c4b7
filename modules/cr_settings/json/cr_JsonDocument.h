#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <json/json.h>

#include "cr_core/cr_core.h"

namespace cr {

/** A parsed JSON document that knows the source location of each value.
    Comments are allowed.

    Not thread safe. @see ObjectReader */
class JsonDocument
{
public:
  /** Parses the text. Adds findings for syntax errors, duplicate keys, trailing
      text and too deep nesting; Root() is then null. */
  JsonDocument(std::string aFile, std::string aText, Findings& aFindings);

  /** Returns the root value. */
  const Json::Value& Root() const { return m_root; }

  /** Returns the file name that findings report. */
  const std::string& File() const { return m_file; }

  /** Returns the source location of the value. */
  SourceLocation LocationOf(const Json::Value& aValue) const;

  /** Builds a finding at the location of the value. */
  Finding FindingAt(const Json::Value& aValue, std::string aText) const;

private:
  SourceLocation LocationAt(std::ptrdiff_t aOffset) const;

  std::string m_file;
  std::string m_text;
  Json::Value m_root;
};

/** Parses JSON without comments, as sent by a peer or a caller. Returns an
    error when the text is not exactly one JSON value. Thread safe. */
Expected<Json::Value>
ParseJson(std::string_view aText);

/** Serializes the value on one line. Thread safe. */
std::string
WriteJson(const Json::Value& aValue);

/** Returns the text as a quoted and escaped JSON string. Thread safe. */
std::string
QuoteJson(std::string_view aText);

}
