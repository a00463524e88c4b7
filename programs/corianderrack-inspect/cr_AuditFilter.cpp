#include "cr_AuditFilter.h"

#include <chrono>
#include <iomanip>
#include <sstream>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "cr_settings/cr_settings.h"

namespace cr {

namespace {

std::string
GetTextMember(const Json::Value& aValue, const std::string& aKey)
{
  return aValue[aKey].isString() ? aValue[aKey].asString() : std::string();
}

WallMilliseconds
GetTime(const AuditEntry& aEntry)
{
  const Json::Value& time = aEntry.m_value["time"];
  return time.isInt64() ? time.asInt64() : 0;
}

std::optional<std::tm>
ParseTimeFormat(const std::string& aText, const char* aFormat)
{
  std::tm time{};
  std::istringstream stream(aText);
  stream >> std::get_time(&time, aFormat);
  if (stream.fail() ||
      stream.peek() != std::istringstream::traits_type::eof()) {
    return std::nullopt;
  }
  return time;
}

}

Expected<AuditEntry>
ParseAuditEntry(const std::string& aKey, const std::string& aValue)
{
  auto value = ParseJson(aValue);
  if (!value || !value->isObject()) {
    return Failure(ErrorCode::Malformed,
                   "audit row " + aKey + " is not a JSON object");
  }
  return AuditEntry{ aKey, std::move(*value) };
}

bool
IsSelected(const AuditFilter& aFilter, const AuditEntry& aEntry)
{
  const std::string kind = aEntry.m_key.substr(0, aEntry.m_key.find('/'));
  return (aFilter.m_kind.empty() || kind == aFilter.m_kind) &&
         (aFilter.m_operator.empty() ||
          GetTextMember(aEntry.m_value, "operator") == aFilter.m_operator) &&
         GetTime(aEntry) >= aFilter.m_since;
}

std::string
ToText(const AuditEntry& aEntry)
{
  std::string line =
    fmt::format("{} {}", ToText(GetTime(aEntry)), aEntry.m_key);
  const std::string operatorName = GetTextMember(aEntry.m_value, "operator");
  if (!operatorName.empty()) {
    line += " by " + operatorName;
  }
  for (const std::string& name : aEntry.m_value.getMemberNames()) {
    if (name != "time" && name != "operator") {
      line += fmt::format(" {}={}", name, WriteJson(aEntry.m_value[name]));
    }
  }
  return line;
}

std::string
ToText(WallMilliseconds aTime)
{
  constexpr WallMilliseconds perSecond = 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(static_cast<std::time_t>(aTime / perSecond)));
}

Expected<WallMilliseconds>
ParseTime(const std::string& aText)
{
  std::string text = aText;
  if (!text.empty() && text.back() == 'Z') {
    text.pop_back();
  }
  auto time = ParseTimeFormat(text, "%Y-%m-%dT%H:%M:%S");
  if (!time) {
    time = ParseTimeFormat(text, "%Y-%m-%d");
  }
  if (!time) {
    return Failure(ErrorCode::Malformed,
                   "\"" + aText + "\" is not a time like 2026-12-04T05:40:00");
  }
  constexpr int yearBase = 1900;
  const std::chrono::year_month_day day{
    std::chrono::year(time->tm_year + yearBase),
    std::chrono::month(static_cast<unsigned>(time->tm_mon) + 1),
    std::chrono::day(static_cast<unsigned>(time->tm_mday))
  };
  const auto instant =
    std::chrono::sys_days(day) + std::chrono::hours(time->tm_hour) +
    std::chrono::minutes(time->tm_min) + std::chrono::seconds(time->tm_sec);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           instant.time_since_epoch())
    .count();
}

}
