#include "cr_configuration/publish/cr_ConfigurationRows.h"

#include <fmt/format.h>

#include "cr_settings/cr_settings.h"

namespace cr {

namespace {

constexpr std::uint64_t kSecondHalfSeed = 0x5EED;

template<typename Decode>
JsonDecoded<Decode>
DecodeObject(std::string_view aText, Decode aDecode)
{
  return DecodeJsonText(
    aText, [&](const Json::Value& aValue) -> JsonDecoded<Decode> {
      if (!aValue.isObject()) {
        return Failure(ErrorCode::Malformed, "a JSON object is expected");
      }
      return aDecode(aValue);
    });
}

Json::Value
ToJson(const ConfigurationHead& aHead)
{
  Json::Value value(Json::objectValue);
  value["generation"] = Json::UInt64(aHead.m_generation);
  value["manifest"] = aHead.m_manifest;
  value["publication"] = aHead.m_publicationId;
  value["operator"] = aHead.m_operator;
  value["time"] = Json::Int64(aHead.m_time);
  return value;
}

ConfigurationHead
ReadHead(const Json::Value& aValue)
{
  return { aValue["generation"].asUInt64(),
           aValue["manifest"].asString(),
           aValue["publication"].asString(),
           aValue["operator"].asString(),
           aValue["time"].asInt64() };
}

}

RowKey
HeadRow()
{
  return { "configuration", "head" };
}

RowKey
AuditRow(Generation aGeneration)
{
  return { std::string(kAuditTable),
           fmt::format("{}/{:012}", kPublicationKind, aGeneration) };
}

std::string
ObjectName(std::string_view aContent)
{
  return ToHexadecimal(Hash(aContent), Hash(aContent, kSecondHalfSeed));
}

std::string
EncodeHead(const ConfigurationHead& aHead)
{
  return WriteJson(ToJson(aHead));
}

Expected<ConfigurationHead>
DecodeHead(std::string_view aText)
{
  return DecodeObject(aText, ReadHead);
}

std::string
EncodeRecord(const PublicationRecord& aRecord)
{
  Json::Value value = ToJson(aRecord.m_head);
  value["kind"] = "publication";
  value["base"] = Json::UInt64(aRecord.m_baseGeneration);
  value["changed"] = Json::Value(Json::arrayValue);
  value["removed"] = Json::Value(Json::arrayValue);
  for (const std::string& service : aRecord.m_changed) {
    value["changed"].append(service);
  }
  for (const std::string& service : aRecord.m_removed) {
    value["removed"].append(service);
  }
  if (aRecord.m_sourceGeneration != 0) {
    value["from"] = Json::UInt64(aRecord.m_sourceGeneration);
  }
  return WriteJson(value);
}

Expected<PublicationRecord>
DecodeRecord(std::string_view aText)
{
  return DecodeObject(aText, [](const Json::Value& aValue) {
    PublicationRecord record;
    record.m_head = ReadHead(aValue);
    record.m_baseGeneration = aValue["base"].asUInt64();
    record.m_sourceGeneration = aValue["from"].asUInt64();
    for (const Json::Value& service : aValue["changed"]) {
      record.m_changed.push_back(service.asString());
    }
    for (const Json::Value& service : aValue["removed"]) {
      record.m_removed.push_back(service.asString());
    }
    return record;
  });
}

std::string
EncodeManifest(const Manifest& aManifest)
{
  Json::Value value(Json::objectValue);
  for (const auto& [service, object] : aManifest.m_objects) {
    value[service] = object;
  }
  return WriteJson(value);
}

Expected<Manifest>
DecodeManifest(std::string_view aText)
{
  return DecodeObject(aText, [](const Json::Value& aValue) {
    Manifest manifest;
    for (const std::string& service : aValue.getMemberNames()) {
      manifest.m_objects.emplace(service, aValue[service].asString());
    }
    return manifest;
  });
}

}
