#include "cr_ScenarioTrigger.h"

#include <array>

namespace cr {

namespace {

constexpr IntegerRange kTimeRangeMs = { 0, 600000 };
constexpr IntegerRange kPercentRange = { 1, 10000 };
constexpr IntegerRange kExtraRangeMs = { 0, 60000 };
constexpr IntegerRange kAttemptsRange = { 1, 100 };
constexpr IntegerRange kCountRange = { 1, 10000 };

constexpr std::array<std::string_view, std::variant_size_v<TriggerKind>>
  kKindNames = { "surge",          "slow-service", "retry-storm",
                 "crash-requests", "server-leave", "platform-outage" };

TriggerKind
ReadKind(ObjectReader& aReader)
{
  const std::string kind = aReader.ReadText("kind");
  if (kind == "surge") {
    return SurgeTrigger{ aReader.ReadInteger("percent", kPercentRange) };
  }
  if (kind == "slow-service") {
    std::string service = aReader.ReadText("service");
    return SlowServiceTrigger{ std::move(service),
                               Milliseconds(aReader.ReadInteger(
                                 "extra_ms", kExtraRangeMs)) };
  }
  if (kind == "retry-storm") {
    return RetryStormTrigger{ static_cast<std::uint32_t>(
      aReader.ReadInteger("tries", kAttemptsRange)) };
  }
  if (kind == "crash-requests") {
    OperationName operation = ReadOperation(aReader, "operation");
    return CrashRequestsTrigger{ std::move(operation),
                                 aReader.ReadInteger("count", kCountRange) };
  }
  if (kind == "server-leave") {
    return ServerLeaveTrigger{ aReader.ReadText("host") };
  }
  if (kind != "platform-outage") {
    aReader.AddFinding("kind", "there is no such kind of trigger");
  }
  return PlatformOutageTrigger{};
}

}

std::string_view
ToText(const TriggerKind& aKind)
{
  return kKindNames.at(aKind.index());
}

OperationName
ReadOperation(ObjectReader& aReader, const std::string& aKey)
{
  const std::string name = aReader.ReadText(aKey);
  const auto slash = name.find('/');
  if (slash == std::string::npos) {
    aReader.AddFinding(aKey, "an operation is \"service/operation\"");
    return {};
  }
  return { name.substr(0, slash), name.substr(slash + 1) };
}

std::vector<Trigger>
ParseTriggers(const JsonDocument& aDocument,
              const Json::Value& aList,
              Findings& aFindings)
{
  std::vector<Trigger> triggers;
  for (const Json::Value& value : aList) {
    ObjectReader reader(aDocument, value, aFindings);
    Trigger trigger;
    trigger.m_place = aDocument.LocationOf(value);
    trigger.m_start = Milliseconds(reader.ReadInteger("at_ms", kTimeRangeMs));
    trigger.m_end = trigger.m_start +
                    Milliseconds(reader.ReadInteger("for_ms", kTimeRangeMs));
    trigger.m_kind = ReadKind(reader);
    reader.Finish();
    triggers.push_back(std::move(trigger));
  }
  return triggers;
}

}
