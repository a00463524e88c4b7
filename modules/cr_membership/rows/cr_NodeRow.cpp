#include "cr_membership/rows/cr_NodeRow.h"

#include <array>

namespace cr {

namespace {

constexpr std::array<std::string_view, 3> kStateNames = { "absent",
                                                          "ready",
                                                          "leaving" };

Expected<ServerState>
ParseState(std::string_view aText)
{
  for (std::size_t index = 0; index < kStateNames.size(); ++index) {
    if (kStateNames.at(index) == aText) {
      return static_cast<ServerState>(index);
    }
  }
  return Failure(ErrorCode::Malformed, "unknown state of a backend server");
}

}

std::string
EncodeNodeRow(const NodeRow& aRow)
{
  Json::Value value(Json::objectValue);
  value["host"] = aRow.m_host;
  value["incarnation"] =
    Json::UInt64(static_cast<std::uint64_t>(aRow.m_incarnation));
  value["revision"] = Json::UInt64(aRow.m_revision);
  value["region"] = aRow.m_region;
  value["data_centre"] = aRow.m_dataCentre;
  value["address"] = aRow.m_peer.m_address;
  value["port"] = aRow.m_peer.m_port;
  value["service"] = aRow.m_service;
  value["state"] =
    std::string(kStateNames.at(static_cast<std::size_t>(aRow.m_state)));
  value["lapses"] = Json::Int64(aRow.m_lapses);
  return WriteJson(value);
}

Expected<NodeRow>
DecodeNodeRow(std::string_view aText)
{
  const auto value = ParseJson(aText);
  if (!value) {
    return tl::unexpected(value.error());
  }
  try {
    const auto state = ParseState((*value)["state"].asString());
    if (!state) {
      return tl::unexpected(state.error());
    }
    return NodeRow{ (*value)["host"].asString(),
                    Incarnation{ (*value)["incarnation"].asUInt64() },
                    (*value)["revision"].asUInt64(),
                    (*value)["region"].asString(),
                    (*value)["data_centre"].asString(),
                    { (*value)["address"].asString(),
                      static_cast<std::uint16_t>((*value)["port"].asUInt()) },
                    (*value)["service"].asString(),
                    *state,
                    (*value)["lapses"].asInt64() };
  } catch (const Json::Exception& exception) {
    return Failure(ErrorCode::Malformed, exception.what());
  }
}

}
