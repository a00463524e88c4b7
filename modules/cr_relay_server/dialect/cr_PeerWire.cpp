#include "cr_relay_server/dialect/cr_PeerWire.h"

namespace cr {

namespace {

constexpr Json::ArrayIndex kHeaderSize = 7;
constexpr Json::ArrayIndex kReportSize = 8;
/* Loads travel in thousandths. */
constexpr double kLoadScale = 1000;

Json::Int64
ToThousandths(double aLoad)
{
  return static_cast<Json::Int64>(aLoad * kLoadScale);
}

Expected<Json::Value>
ParseList(std::string_view aText, Json::ArrayIndex aSize)
{
  auto value = ParseJson(aText);
  if (value && (!value->isArray() || value->size() != aSize)) {
    return Failure(ErrorCode::Malformed, "not a list of the right length");
  }
  return value;
}

}

std::string
EncodeRelayHeader(const RelayHeader& aHeader)
{
  Json::Value value(Json::arrayValue);
  value.append(aHeader.m_service);
  value.append(aHeader.m_route);
  value.append(Json::Int64(aHeader.m_remaining.count()));
  value.append(Json::Int64(aHeader.m_longestWait.count()));
  value.append(aHeader.m_isBegun ? 1 : 0);
  value.append(aHeader.m_isIdempotent ? 1 : 0);
  value.append(Json::UInt64(aHeader.m_generation));
  return WriteJson(value);
}

Expected<RelayHeader>
DecodeRelayHeader(std::string_view aText)
{
  const auto value = ParseList(aText, kHeaderSize);
  if (!value) {
    return tl::unexpected(value.error());
  }
  try {
    Json::ArrayIndex index = 0;
    const auto next = [&]() -> const Json::Value& { return (*value)[index++]; };
    RelayHeader header;
    header.m_service = next().asString();
    header.m_route = next().asString();
    header.m_remaining = Duration(next().asInt64());
    header.m_longestWait = Duration(next().asInt64());
    header.m_isBegun = next().asInt() != 0;
    header.m_isIdempotent = next().asInt() != 0;
    header.m_generation = next().asUInt64();
    return header;
  } catch (const Json::Exception& exception) {
    return Failure(ErrorCode::Malformed, exception.what());
  }
}

std::string
EncodeRelayReport(const RelayReport& aReport)
{
  Json::Value value(Json::arrayValue);
  value.append(std::string(ToText(aReport.m_outcome)));
  value.append(std::string(ToText(aReport.m_reason)));
  value.append(aReport.m_isServerError ? 1 : 0);
  value.append(aReport.m_hasReached ? 1 : 0);
  value.append(aReport.m_isCalledRoute ? 1 : 0);
  value.append(ToThousandths(aReport.m_gateLoad));
  value.append(ToThousandths(aReport.m_pathLoad));
  value.append(Json::UInt64(aReport.m_generation));
  return WriteJson(value);
}

Expected<RelayReport>
DecodeRelayReport(std::string_view aText)
{
  const auto value = ParseList(aText, kReportSize);
  if (!value) {
    return tl::unexpected(value.error());
  }
  try {
    Json::ArrayIndex index = 0;
    const auto next = [&]() -> const Json::Value& { return (*value)[index++]; };
    const auto outcome = ParseOutcome(next().asString());
    const auto reason = ParseReason(next().asString());
    if (!outcome || !reason) {
      return Failure(ErrorCode::Malformed, "no such outcome or reason");
    }
    RelayReport report;
    report.m_outcome = *outcome;
    report.m_reason = *reason;
    report.m_isServerError = next().asInt() != 0;
    report.m_hasReached = next().asInt() != 0;
    report.m_isCalledRoute = next().asInt() != 0;
    report.m_gateLoad = static_cast<double>(next().asInt64()) / kLoadScale;
    report.m_pathLoad = static_cast<double>(next().asInt64()) / kLoadScale;
    report.m_generation = next().asUInt64();
    return report;
  } catch (const Json::Exception& exception) {
    return Failure(ErrorCode::Malformed, exception.what());
  }
}

}
