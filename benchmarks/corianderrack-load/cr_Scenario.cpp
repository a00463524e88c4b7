#include "cr_Scenario.h"

#include <algorithm>
#include <type_traits>

namespace cr {

namespace {

constexpr IntegerRange kSeedRange = { 0, INT64_MAX };
constexpr IntegerRange kPortRange = { 1024, 65500 };
constexpr IntegerRange kRateRange = { 0, 20000 };
constexpr IntegerRange kSecondsRange = { 1, 600 };
constexpr IntegerRange kIdleRange = { 0, 600 };
constexpr IntegerRange kTimeRangeMs = { 0, 60000 };
constexpr IntegerRange kAttemptsRange = { 1, 100 };
constexpr std::int64_t kDefaultTimeoutMs = 10000;
constexpr std::int64_t kDefaultBackoffMs = 50;

/* Returns the list at the key. If the value is not a list, adds a finding and
   returns an empty list. */
const Json::Value&
ReadList(ObjectReader& aReader, const std::string& aKey, bool aNeeded)
{
  static const Json::Value empty(Json::arrayValue);
  const Json::Value& value = aReader.ReadValue(aKey);
  if (value.isArray()) {
    return value;
  }
  if (aNeeded || !value.isNull()) {
    aReader.AddFinding(aKey, "a list is needed at \"" + aKey + '"');
  }
  return empty;
}

std::vector<std::string>
ReadTexts(const JsonDocument& aDocument,
          const Json::Value& aList,
          Findings& aFindings)
{
  std::vector<std::string> texts;
  for (const Json::Value& value : aList) {
    if (value.isString()) {
      texts.push_back(value.asString());
    } else {
      aFindings.push_back(aDocument.FindingAt(value, "a text is needed here"));
    }
  }
  return texts;
}

ScenarioStream
ReadStream(const JsonDocument& aDocument,
           const Json::Value& aValue,
           Findings& aFindings)
{
  ObjectReader reader(aDocument, aValue, aFindings);
  ScenarioStream stream;
  stream.m_place = aDocument.LocationOf(aValue);
  stream.m_operation = ReadOperation(reader, "operation");
  stream.m_perSecond = reader.ReadInteger("per_second", kRateRange);
  reader.Finish();
  return stream;
}

CustomerBehaviour
ReadCustomers(const JsonDocument& aDocument,
              const Json::Value& aValue,
              Findings& aFindings)
{
  CustomerBehaviour customers;
  if (aValue.isNull()) {
    return customers;
  }
  ObjectReader reader(aDocument, aValue, aFindings);
  customers.m_attempts =
    static_cast<std::uint32_t>(reader.ReadInteger("tries", kAttemptsRange, 1));
  customers.m_attemptTimeout = Milliseconds(
    reader.ReadInteger("try_timeout_ms", kTimeRangeMs, kDefaultTimeoutMs));
  customers.m_callerTimeout = Milliseconds(
    reader.ReadInteger("patience_ms", kTimeRangeMs, kDefaultTimeoutMs));
  customers.m_backoff = Milliseconds(
    reader.ReadInteger("back_off_ms", kTimeRangeMs, kDefaultBackoffMs));
  reader.Finish();
  return customers;
}

void
ReadSpread(ObjectReader& aReader, Spread& aSpread)
{
  const std::string text = aReader.ReadText("spread", "random");
  if (text == "even") {
    aSpread = Spread::Even;
  } else if (text != "random") {
    aReader.AddFinding("spread", R"("spread" is "random" or "even")");
  }
}

void
ReadLists(const JsonDocument& aDocument,
          ObjectReader& aReader,
          Scenario& aScenario,
          Findings& aFindings)
{
  aScenario.m_serviceFiles =
    ReadTexts(aDocument, ReadList(aReader, "service_files", true), aFindings);
  for (const Json::Value& host : ReadList(aReader, "hosts", true)) {
    aScenario.m_hosts.push_back(
      ParseScenarioHost(aDocument, host, aScenario.m_serviceTime, aFindings));
  }
  for (const Json::Value& stream : ReadList(aReader, "streams", true)) {
    aScenario.m_streams.push_back(ReadStream(aDocument, stream, aFindings));
  }
  aScenario.m_triggers =
    ParseTriggers(aDocument, ReadList(aReader, "triggers", false), aFindings);
  aScenario.m_measures =
    ReadTexts(aDocument, ReadList(aReader, "measures", false), aFindings);
}

bool
HasHost(const Scenario& aScenario, const HostName& aName)
{
  return std::any_of(
    aScenario.m_hosts.begin(),
    aScenario.m_hosts.end(),
    [&](const ScenarioHost& aHost) { return aHost.m_host == aName; });
}

void
CheckTrigger(const Scenario& aScenario,
             const Configuration& aConfiguration,
             const Trigger& aTrigger,
             Findings& aFindings)
{
  const auto add = [&](std::string aText) {
    aFindings.push_back({ aTrigger.m_place, std::move(aText) });
  };
  if (aTrigger.m_end > aScenario.m_length) {
    add("the trigger ends after the load");
  }
  std::visit(
    [&](const auto& aKind) {
      using Kind = std::decay_t<decltype(aKind)>;
      if constexpr (std::is_same_v<Kind, SlowServiceTrigger>) {
        if (!aConfiguration.m_services.contains(aKind.m_service)) {
          add("there is no service " + aKind.m_service);
        }
      } else if constexpr (std::is_same_v<Kind, CrashRequestsTrigger>) {
        if (aConfiguration.Find(aKind.m_operation) == nullptr) {
          add("there is no operation " + ToText(aKind.m_operation));
        }
      } else if constexpr (std::is_same_v<Kind, ServerLeaveTrigger>) {
        if (!HasHost(aScenario, aKind.m_host)) {
          add("there is no host " + aKind.m_host);
        }
      }
    },
    aTrigger.m_kind);
}

}

Duration
Scenario::FirstTriggerStart() const
{
  Duration start = m_length;
  for (const Trigger& trigger : m_triggers) {
    start = std::min(start, trigger.m_start);
  }
  return start;
}

Duration
Scenario::LastTriggerEnd() const
{
  Duration end = m_triggers.empty() ? m_length : Duration::zero();
  for (const Trigger& trigger : m_triggers) {
    end = std::max(end, trigger.m_end);
  }
  return end;
}

Scenario
ParseScenario(std::string_view aFile,
              std::string_view aText,
              Findings& aFindings)
{
  const JsonDocument document{ std::string(aFile),
                               std::string(aText),
                               aFindings };
  Scenario scenario;
  if (!aFindings.empty()) {
    return scenario;
  }
  ObjectReader reader(document, document.Root(), aFindings);
  scenario.m_name = reader.ReadText("name", "load");
  scenario.m_seed =
    static_cast<std::uint64_t>(reader.ReadInteger("seed", kSeedRange));
  scenario.m_address = reader.ReadText("address");
  scenario.m_platformPort =
    static_cast<std::uint16_t>(reader.ReadInteger("platform_port", kPortRange));
  scenario.m_serviceTime =
    Milliseconds(reader.ReadInteger("service_ms", kTimeRangeMs));
  scenario.m_length = Seconds(reader.ReadInteger("seconds", kSecondsRange));
  scenario.m_idle = Seconds(reader.ReadInteger("idle_seconds", kIdleRange, 0));
  ReadSpread(reader, scenario.m_spread);
  scenario.m_customers =
    ReadCustomers(document, reader.ReadValue("customers"), aFindings);
  scenario.m_bottleneck = reader.ReadText("bottleneck", "");
  ReadLists(document, reader, scenario, aFindings);
  reader.Finish();
  return scenario;
}

void
CheckScenario(const Scenario& aScenario,
              const Configuration& aConfiguration,
              Findings& aFindings)
{
  for (const ScenarioStream& stream : aScenario.m_streams) {
    if (aConfiguration.Find(stream.m_operation) == nullptr) {
      aFindings.push_back(
        { stream.m_place,
          "there is no operation " + ToText(stream.m_operation) });
    }
  }
  for (const Trigger& trigger : aScenario.m_triggers) {
    CheckTrigger(aScenario, aConfiguration, trigger, aFindings);
  }
}

}
