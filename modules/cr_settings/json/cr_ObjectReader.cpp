#include "cr_settings/json/cr_ObjectReader.h"

#include <fmt/format.h>

namespace cr {

namespace {

const Json::Value&
EmptyObject()
{
  static const Json::Value empty(Json::objectValue);
  return empty;
}

}

ObjectReader::ObjectReader(const JsonDocument& aDocument,
                           const Json::Value& aObject,
                           Findings& aFindings)
  : m_document(aDocument)
  , m_object(aObject.isObject() ? aObject : EmptyObject())
  , m_findings(aFindings)
{
  if (!aObject.isObject()) {
    m_findings.push_back(
      m_document.FindingAt(aObject, "an object is expected here"));
  }
}

std::string
ObjectReader::ReadText(const std::string& aKey)
{
  if (!m_object.isMember(aKey)) {
    m_readKeys.insert(aKey);
    AddFinding(aKey, fmt::format("\"{}\" is missing; a text is needed", aKey));
    return {};
  }
  return ReadText(aKey, {});
}

std::string
ObjectReader::ReadText(const std::string& aKey, std::string aDefault)
{
  const Json::Value& value = ReadValue(aKey);
  if (value.isNull()) {
    return aDefault;
  }
  if (!value.isString() || value.asString().empty()) {
    AddFinding(aKey, fmt::format("\"{}\" must be a non-empty text", aKey));
    return aDefault;
  }
  return value.asString();
}

std::int64_t
ObjectReader::ReadInteger(const std::string& aKey, IntegerRange aRange)
{
  if (!m_object.isMember(aKey)) {
    m_readKeys.insert(aKey);
    AddFinding(aKey,
               fmt::format("\"{}\" is missing; a whole number from {} to {} "
                           "is needed",
                           aKey,
                           aRange.m_min,
                           aRange.m_max));
    return aRange.m_min;
  }
  return ReadInteger(aKey, aRange, aRange.m_min);
}

std::int64_t
ObjectReader::ReadInteger(const std::string& aKey,
                          IntegerRange aRange,
                          std::int64_t aDefault)
{
  const Json::Value& value = ReadValue(aKey);
  if (value.isNull()) {
    return aDefault;
  }
  const bool isInteger = value.isInt64();
  const bool inRange = isInteger && value.asInt64() >= aRange.m_min &&
                       value.asInt64() <= aRange.m_max;
  if (!inRange) {
    AddFinding(aKey,
               fmt::format("\"{}\" must be a whole number from {} to {}",
                           aKey,
                           aRange.m_min,
                           aRange.m_max));
    return aDefault;
  }
  return value.asInt64();
}

bool
ObjectReader::ReadBoolean(const std::string& aKey, bool aDefault)
{
  const Json::Value& value = ReadValue(aKey);
  if (value.isNull()) {
    return aDefault;
  }
  if (!value.isBool()) {
    AddFinding(aKey, fmt::format("\"{}\" must be true or false", aKey));
    return aDefault;
  }
  return value.asBool();
}

const Json::Value&
ObjectReader::ReadValue(const std::string& aKey)
{
  m_readKeys.insert(aKey);
  return m_object[aKey];
}

void
ObjectReader::AddFinding(const std::string& aKey, std::string aText)
{
  const Json::Value& location =
    m_object.isMember(aKey) ? m_object[aKey] : m_object;
  m_findings.push_back(m_document.FindingAt(location, std::move(aText)));
}

void
ObjectReader::Finish()
{
  for (const std::string& key : m_object.getMemberNames()) {
    if (!m_readKeys.contains(key)) {
      AddFinding(key, fmt::format("\"{}\" is not a known key", key));
    }
  }
}

}
