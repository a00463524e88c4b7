#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <json/json.h>

#include "cr_core/cr_core.h"

namespace cr {

/** A parsed JSON text with comments that can say where each value stands.

    Not thread safe. @see ObjectReader */
class JsonDocument
{
public:
  /** Parses the text. Syntax errors, duplicate keys, trailing text and deep
      nesting are added to the findings; Root() is then null. */
  JsonDocument(std::string aFile, std::string aText, Findings& aFindings);

  /** Returns the outermost value. */
  const Json::Value& Root() const { return m_root; }

  /** Returns the file name that findings carry. */
  const std::string& File() const { return m_file; }

  /** Returns the place of the value. */
  Place PlaceOf(const Json::Value& aValue) const;

  /** Builds a finding at the place of the value. */
  Finding FindingAt(const Json::Value& aValue, std::string aText) const;

private:
  Place PlaceAt(std::ptrdiff_t aOffset) const;

  std::string m_file;
  std::string m_text;
  Json::Value m_root;
};

/** Parses JSON without comments from a peer or a caller. Returns nothing when
    the text is not exactly one JSON value. Thread safe. */
Expected<Json::Value>
ParseJson(std::string_view aText);

/** Writes JSON on one line. Thread safe. */
std::string
WriteJson(const Json::Value& aValue);

/** Writes the text as a JSON string, quotes included. Thread safe. */
std::string
QuoteJson(std::string_view aText);

}
