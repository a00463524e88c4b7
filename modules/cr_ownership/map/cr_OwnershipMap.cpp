#include "cr_ownership/map/cr_OwnershipMap.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>

namespace cr {

namespace {

constexpr std::uint64_t kAuditRowCount = 1000;

Json::Value
EncodeOwner(const Owner& aOwner)
{
  Json::Value value(Json::arrayValue);
  value.append(aOwner.m_host);
  value.append(Json::UInt64(static_cast<std::uint64_t>(aOwner.m_incarnation)));
  value.append(aOwner.m_peer.m_address);
  value.append(aOwner.m_peer.m_port);
  return value;
}

Owner
DecodeOwner(const Json::Value& aValue)
{
  return { aValue[0].asString(),
           Incarnation{ aValue[1].asUInt64() },
           { aValue[2].asString(),
             static_cast<std::uint16_t>(aValue[3].asUInt()) } };
}

bool
AreConsistent(const Segments& aSegments)
{
  for (std::size_t index = 0; index < aSegments.size(); ++index) {
    const Segment& segment = aSegments.at(index);
    if (segment.m_begin >= segment.m_end) {
      return false;
    }
    if (index > 0 && aSegments.at(index - 1).m_end != segment.m_begin) {
      return false;
    }
  }
  return true;
}

OwnershipMap
DecodeMap(const Json::Value& aValue)
{
  std::vector<Owner> owners;
  for (const Json::Value& owner : aValue["owners"]) {
    owners.push_back(DecodeOwner(owner));
  }
  OwnershipMap map;
  map.m_changes = aValue["changes"].asUInt64();
  const Json::Value& partitions = aValue["partitions"];
  for (Json::ArrayIndex index = 0; index < kPartitionCount; ++index) {
    for (const Json::Value& segment : partitions[index]) {
      map.m_partitions.at(index).push_back({ owners.at(segment[0].asUInt64()),
                                             segment[1].asInt64(),
                                             segment[2].asInt64() });
    }
  }
  return map;
}

}

std::size_t
PartitionOf(const IdempotencyKey& aKey)
{
  return Hash(aKey.m_high, aKey.m_low) % kPartitionCount;
}

const Segment*
OwnershipMap::Find(std::size_t aPartition, WallMilliseconds aBirth) const
{
  const Segments& segments = m_partitions.at(aPartition);
  const auto found =
    std::find_if(segments.begin(), segments.end(), [&](const Segment& aEach) {
      return aEach.m_begin <= aBirth && aBirth < aEach.m_end;
    });
  return found == segments.end() ? nullptr : &*found;
}

bool
OwnershipMap::IsConsistent() const
{
  return std::all_of(m_partitions.begin(), m_partitions.end(), AreConsistent);
}

RowKey
OwnershipRow(std::string_view aService)
{
  return { "ownership", std::string(aService) };
}

RowKey
OwnershipAuditRow(std::string_view aService, std::uint64_t aChange)
{
  return { "audit",
           fmt::format(
             "ownership/{}/{:04}", aService, aChange % kAuditRowCount) };
}

std::string
EncodeOwnershipMap(const OwnershipMap& aMap)
{
  std::map<Owner, Json::UInt64> numbers;
  Json::Value owners(Json::arrayValue);
  Json::Value partitions(Json::arrayValue);
  for (const Segments& segments : aMap.m_partitions) {
    Json::Value list(Json::arrayValue);
    for (const Segment& segment : segments) {
      const auto [number, added] =
        numbers.emplace(segment.m_owner, numbers.size());
      if (added) {
        owners.append(EncodeOwner(segment.m_owner));
      }
      Json::Value entry(Json::arrayValue);
      entry.append(number->second);
      entry.append(Json::Int64(segment.m_begin));
      entry.append(Json::Int64(segment.m_end));
      list.append(entry);
    }
    partitions.append(list);
  }
  Json::Value value(Json::objectValue);
  value["changes"] = Json::UInt64(aMap.m_changes);
  value["owners"] = owners;
  value["partitions"] = partitions;
  return WriteJson(value);
}

Expected<OwnershipMap>
DecodeOwnershipMap(std::string_view aText)
{
  const auto value = ParseJson(aText);
  if (!value) {
    return tl::unexpected(value.error());
  }
  try {
    OwnershipMap map = DecodeMap(*value);
    if (!map.IsConsistent()) {
      return Failure(ErrorCode::Malformed, "ownership map is unsound");
    }
    return map;
  } catch (const std::exception& exception) {
    return Failure(ErrorCode::Malformed, exception.what());
  }
}

}
