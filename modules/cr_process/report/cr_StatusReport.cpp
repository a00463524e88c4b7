#include "cr_process/report/cr_StatusReport.h"

#include <array>

namespace cr {

namespace {

constexpr std::array<std::string_view, 3> kStateNames = { "absent",
                                                          "ready",
                                                          "leaving" };

Json::Value
Encode(const ServerView& aServer)
{
  Json::Value value(Json::objectValue);
  value["service"] = aServer.m_service;
  value["endpoint"] = ToText(aServer.m_endpoint);
  value["slots"] = aServer.m_slots;
  value["state"] =
    std::string(kStateNames.at(static_cast<std::size_t>(aServer.m_state)));
  return value;
}

Json::Value
Encode(const NodeUsage& aUsage)
{
  Json::Value value(Json::objectValue);
  value["processor_us"] = Json::Int64(aUsage.m_process.m_processor.count());
  value["resident_bytes"] = Json::UInt64(aUsage.m_process.m_residentBytes);
  value["control_bytes"] = Json::UInt64(aUsage.m_controlBytes);
  return value;
}

}

std::string
EncodeStatus(const NodeStatus& aStatus, const NodeUsage& aUsage)
{
  Json::Value value(Json::objectValue);
  value["host"] = aStatus.m_host;
  value["incarnation"] =
    Json::UInt64(static_cast<std::uint64_t>(aStatus.m_incarnation));
  value["generation"] = Json::UInt64(aStatus.m_generation);
  value["server"] = Encode(aStatus.m_server);
  value["running"] = Json::UInt64(aStatus.m_running);
  value["waiting"] = Json::UInt64(aStatus.m_waiting);
  value["admission_level"] = aStatus.m_level;
  value["entry_calls"] = Json::UInt64(aStatus.m_entryCalls);
  value["known_nodes"] = Json::UInt64(aStatus.m_knownNodes);
  value["hosts"] = Json::Value(Json::objectValue);
  for (const auto& [service, count] : aStatus.m_hosts) {
    value["hosts"][service] = Json::UInt64(count);
  }
  value["owned_partitions"] = Json::Value(Json::objectValue);
  for (const auto& [service, count] : aStatus.m_ownedPartitions) {
    value["owned_partitions"][service] = Json::UInt64(count);
  }
  value["usage"] = Encode(aUsage);
  return WriteJson(value);
}

}
