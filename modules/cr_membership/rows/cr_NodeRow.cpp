#include "cr_membership/rows/cr_NodeRow.h"

#include <array>

namespace cr {

namespace {

constexpr std::array<std::string_view, 3> kStateNames = { "absent",
                                                          "ready",
                                                          "leaving" };
constexpr std::size_t kMaxTextBytes = 256;

/* Indices of the members in the JSON list. */
constexpr Json::ArrayIndex kHost = 0;
constexpr Json::ArrayIndex kIncarnation = 1;
constexpr Json::ArrayIndex kRevision = 2;
constexpr Json::ArrayIndex kRegion = 3;
constexpr Json::ArrayIndex kDataCentre = 4;
constexpr Json::ArrayIndex kAddress = 5;
constexpr Json::ArrayIndex kPort = 6;
constexpr Json::ArrayIndex kService = 7;
constexpr Json::ArrayIndex kState = 8;
constexpr Json::ArrayIndex kMemberCount = 9;
/* Only in the row of a host whose backend server is known to leave. */
constexpr Json::ArrayIndex kDepartedServer = 9;
constexpr Json::ArrayIndex kDepartedStart = 10;
constexpr Json::ArrayIndex kMemberCountWithDeparture = 11;

std::string
ReadText(const Json::Value& aValue)
{
  std::string text = aValue.asString();
  if (text.size() > kMaxTextBytes) {
    throw Json::RuntimeError("a text of a node's row is too long");
  }
  return text;
}

ServerStart
ReadDeparture(const Json::Value& aValue)
{
  ServerStart departure{ ReadText(aValue[kDepartedServer]), std::nullopt };
  if (!aValue[kDepartedStart].isNull()) {
    departure.m_startTime = aValue[kDepartedStart].asInt64();
  }
  if (departure.m_id.empty()) {
    throw Json::RuntimeError("the server that leaves has no name");
  }
  return departure;
}

NodeRow
ReadRow(const Json::Value& aValue)
{
  const Json::UInt port = aValue[kPort].asUInt();
  const Json::UInt state = aValue[kState].asUInt();
  NodeRow row{ ReadText(aValue[kHost]),
               Incarnation{ aValue[kIncarnation].asUInt64() },
               aValue[kRevision].asUInt64(),
               ReadText(aValue[kRegion]),
               ReadText(aValue[kDataCentre]),
               { ReadText(aValue[kAddress]), static_cast<std::uint16_t>(port) },
               ReadText(aValue[kService]),
               static_cast<ServerState>(state) };
  if (aValue.size() == kMemberCountWithDeparture) {
    row.m_departure = ReadDeparture(aValue);
  }
  if (row.m_host.empty() || port == 0 || port > UINT16_MAX ||
      state >= kStateNames.size()) {
    throw Json::RuntimeError("a member of a node's row is out of range");
  }
  return row;
}

}

bool
IsNewer(const NodeRow& aRow, const NodeRow& aOther)
{
  return aRow.m_incarnation != aOther.m_incarnation
           ? aRow.m_incarnation > aOther.m_incarnation
           : aRow.m_revision > aOther.m_revision;
}

std::string_view
ToText(ServerState aState)
{
  return kStateNames.at(static_cast<std::size_t>(aState));
}

Json::Value
ToJson(const NodeRow& aRow)
{
  Json::Value value(Json::arrayValue);
  value.append(aRow.m_host);
  value.append(Json::UInt64(static_cast<std::uint64_t>(aRow.m_incarnation)));
  value.append(Json::UInt64(aRow.m_revision));
  value.append(aRow.m_region);
  value.append(aRow.m_dataCentre);
  value.append(aRow.m_peer.m_address);
  value.append(aRow.m_peer.m_port);
  value.append(aRow.m_service);
  value.append(static_cast<Json::UInt>(aRow.m_state));
  if (aRow.m_departure) {
    const auto& startTime = aRow.m_departure->m_startTime;
    value.append(aRow.m_departure->m_id);
    value.append(startTime ? Json::Value(Json::Int64(*startTime))
                           : Json::Value());
  }
  return value;
}

Expected<NodeRow>
ParseNodeRow(const Json::Value& aValue)
{
  if (!aValue.isArray() || (aValue.size() != kMemberCount &&
                            aValue.size() != kMemberCountWithDeparture)) {
    return Failure(ErrorCode::Malformed,
                   "a node's row is not a list of nine or eleven");
  }
  return DecodeJson(aValue, ReadRow);
}

std::string
EncodeNodeRow(const NodeRow& aRow)
{
  return WriteJson(ToJson(aRow));
}

Expected<NodeRow>
DecodeNodeRow(std::string_view aText)
{
  return DecodeJsonText(aText, ParseNodeRow);
}

}
