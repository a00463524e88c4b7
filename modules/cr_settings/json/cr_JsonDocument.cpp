#include "cr_settings/json/cr_JsonDocument.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

#include <json/reader.h>
#include <json/writer.h>

namespace cr {

namespace {

constexpr int kMaxNestingDepth = 32;

Json::CharReaderBuilder
MakeReaderBuilder(bool aComments)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["allowComments"] = aComments;
  builder["strictRoot"] = false;
  builder["stackLimit"] = kMaxNestingDepth;
  return builder;
}

/* Converts the error text of the JSON library to findings. Each error is a line
   "* Line 3, Column 5" followed by a line with the message. */
void
AddSyntaxFindings(const std::string& aFile,
                  const std::string& aErrors,
                  Findings& aFindings)
{
  std::istringstream lines(aErrors);
  std::string line;
  SourceLocation location{ aFile, 1, 1 };
  bool hasFinding = false;
  while (std::getline(lines, line)) {
    int row = 0;
    int column = 0;
    // NOLINTNEXTLINE(cert-err34-c): a failed conversion leaves the count below
    // 2
    if (std::sscanf(line.c_str(), "* Line %d, Column %d", &row, &column) == 2) {
      location = { aFile, row, column };
      continue;
    }
    const auto start = line.find_first_not_of(' ');
    if (start != std::string::npos) {
      aFindings.push_back(
        { location, "not valid JSON: " + line.substr(start) });
      hasFinding = true;
    }
  }
  if (!hasFinding) {
    aFindings.push_back({ location, "not valid JSON" });
  }
}

}

JsonDocument::JsonDocument(std::string aFile,
                           std::string aText,
                           Findings& aFindings)
  : m_file(std::move(aFile))
  , m_text(std::move(aText))
{
  const std::unique_ptr<Json::CharReader> reader(
    MakeReaderBuilder(true).newCharReader());
  std::string errors;
  try {
    if (reader->parse(
          m_text.data(), m_text.data() + m_text.size(), &m_root, &errors)) {
      return;
    }
  } catch (const Json::Exception& exception) {
    errors = exception.what();
  }
  m_root = Json::Value();
  AddSyntaxFindings(m_file, errors, aFindings);
}

SourceLocation
JsonDocument::LocationOf(const Json::Value& aValue) const
{
  return LocationAt(aValue.getOffsetStart());
}

Finding
JsonDocument::FindingAt(const Json::Value& aValue, std::string aText) const
{
  return { LocationOf(aValue), std::move(aText) };
}

SourceLocation
JsonDocument::LocationAt(std::ptrdiff_t aOffset) const
{
  const auto size = static_cast<std::ptrdiff_t>(m_text.size());
  const auto offset = std::clamp<std::ptrdiff_t>(aOffset, 0, size);
  const auto before =
    std::string_view(m_text).substr(0, static_cast<std::size_t>(offset));
  const auto lines = std::count(before.begin(), before.end(), '\n');
  const auto lineStart = before.rfind('\n');
  const auto column = lineStart == std::string_view::npos
                        ? before.size() + 1
                        : before.size() - lineStart;
  return { m_file, static_cast<int>(lines) + 1, static_cast<int>(column) };
}

Expected<Json::Value>
ParseJson(std::string_view aText)
{
  const std::unique_ptr<Json::CharReader> reader(
    MakeReaderBuilder(false).newCharReader());
  Json::Value root;
  std::string errors;
  try {
    if (reader->parse(
          aText.data(), aText.data() + aText.size(), &root, &errors)) {
      return root;
    }
  } catch (const Json::Exception& exception) {
    errors = exception.what();
  }
  return Failure(ErrorCode::Malformed, "not valid JSON: " + errors);
}

std::string
WriteJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

std::string
QuoteJson(std::string_view aText)
{
  // A writer is costly, and nearly all texts need no escapes.
  const bool isPlain =
    std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
      return aCharacter >= ' ' && aCharacter <= '~' && aCharacter != '"' &&
             aCharacter != '\\';
    });
  if (!isPlain) {
    return WriteJson(Json::Value(std::string(aText)));
  }
  std::string quoted;
  quoted.reserve(aText.size() + 2);
  quoted += '"';
  quoted += aText;
  quoted += '"';
  return quoted;
}

}
