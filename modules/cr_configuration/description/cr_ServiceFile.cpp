#include "cr_configuration/description/cr_ServiceFile.h"

#include <fmt/format.h>

namespace cr {

namespace {

constexpr IntegerRange kCallerTimeoutRangeMs = { 1, 600000 };
constexpr IntegerRange kAttemptRange = { 1, 256 };

bool
IsValidName(std::string_view aText)
{
  constexpr std::size_t maxLength = 64;
  constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz0123456789-";
  return !aText.empty() && aText.size() <= maxLength &&
         aText.find_first_not_of(allowed) == std::string_view::npos;
}

constexpr std::string_view kNameRule =
  "a name is 1 to 64 lower-case letters, digits and dashes";

Objective
ReadObjective(ObjectReader& aReader)
{
  const std::string text = aReader.ReadText("objective", "goodput");
  if (text == "recovery") {
    return Objective::Recovery;
  }
  if (text != "goodput") {
    aReader.AddFinding("objective",
                       "\"objective\" must be \"goodput\" or \"recovery\"");
  }
  return Objective::Goodput;
}

Importance
ReadImportance(ObjectReader& aReader)
{
  const std::string text = aReader.ReadText("importance");
  const auto importance = ParseImportance(text);
  if (!importance && !text.empty()) {
    aReader.AddFinding("importance",
                       "\"importance\" must be \"low\", \"normal\", \"high\" "
                       "or \"protected\"");
  }
  return importance.value_or(Importance::Normal);
}

std::vector<CalledOperation>
ReadCalls(const JsonDocument& aDocument,
          const Json::Value& aCalls,
          Findings& aFindings)
{
  std::vector<CalledOperation> calls;
  if (aCalls.isNull()) {
    return calls;
  }
  if (!aCalls.isArray()) {
    aFindings.push_back(aDocument.FindingAt(
      aCalls, "\"calls\" must be a list of \"service/operation\""));
    return calls;
  }
  for (const Json::Value& call : aCalls) {
    const std::string text = call.isString() ? call.asString() : "";
    const auto slash = text.find('/');
    if (slash == std::string::npos || !IsValidName(text.substr(0, slash)) ||
        !IsValidName(text.substr(slash + 1))) {
      aFindings.push_back(aDocument.FindingAt(
        call, "a call must be written \"service/operation\""));
      continue;
    }
    calls.push_back({ { text.substr(0, slash), text.substr(slash + 1) },
                      aDocument.LocationOf(call) });
  }
  return calls;
}

OperationDescription
ReadOperation(const JsonDocument& aDocument,
              const std::string& aName,
              const Json::Value& aValue,
              Findings& aFindings)
{
  ObjectReader reader(aDocument, aValue, aFindings);
  OperationDescription operation;
  operation.m_name = aName;
  operation.m_location = aDocument.LocationOf(aValue);
  operation.m_importance = ReadImportance(reader);
  operation.m_idempotent = reader.ReadBoolean("idempotent", false);
  operation.m_callerTimeout =
    Milliseconds(reader.ReadInteger("patience_ms", kCallerTimeoutRangeMs));
  operation.m_attempts = static_cast<std::uint32_t>(
    reader.ReadInteger("attempts", kAttemptRange, 0));
  operation.m_calls =
    ReadCalls(aDocument, reader.ReadValue("calls"), aFindings);
  reader.Finish();
  if (!IsValidName(aName)) {
    aFindings.push_back(
      { operation.m_location, fmt::format("\"{}\": {}", aName, kNameRule) });
  }
  return operation;
}

}

ServiceDescription
ParseServiceFile(std::string_view aFile,
                 std::string_view aText,
                 Findings& aFindings)
{
  const std::size_t before = aFindings.size();
  const JsonDocument document{ std::string(aFile),
                               std::string(aText),
                               aFindings };
  ServiceDescription service;
  if (aFindings.size() != before) {
    return service;
  }
  ObjectReader reader(document, document.Root(), aFindings);
  service.m_location = document.LocationOf(document.Root());
  service.m_name = reader.ReadText("service");
  if (!service.m_name.empty() && !IsValidName(service.m_name)) {
    reader.AddFinding("service", std::string(kNameRule));
  }
  service.m_objective = ReadObjective(reader);
  const Json::Value& operations = reader.ReadValue("operations");
  if (!operations.isObject() || operations.empty()) {
    reader.AddFinding("operations",
                      "\"operations\" must be an object with at least one "
                      "operation");
    reader.Finish();
    return service;
  }
  for (const std::string& name : operations.getMemberNames()) {
    service.m_operations.emplace(
      name, ReadOperation(document, name, operations[name], aFindings));
  }
  reader.Finish();
  return service;
}

}
