#include "cr_configuration/publish/cr_ConfigurationRows.h"

#include <fmt/format.h>

#include "cr_settings/cr_settings.h"

namespace cr {

namespace {

constexpr std::uint64_t kSecondHalfSeed = 0x5EED;

template<typename Result, typename Decode>
Expected<Result>
DecodeWith(std::string_view aText, Decode aDecode)
{
  const auto value = ParseJson(aText);
  if (!value) {
    return tl::unexpected(value.error());
  }
  try {
    return aDecode(*value);
  } catch (const Json::Exception& exception) {
    return Failure(ErrorCode::Malformed, exception.what());
  }
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
  return { "audit", fmt::format("configuration/{:012}", aGeneration) };
}

std::string
ObjectName(std::string_view aContent)
{
  return ToHexadecimal(Hash(aContent), Hash(aContent, kSecondHalfSeed));
}

std::string
EncodeHead(const ConfigurationHead& aHead)
{
  Json::Value value(Json::objectValue);
  value["generation"] = Json::UInt64(aHead.m_generation);
  value["manifest"] = aHead.m_manifest;
  value["publication"] = aHead.m_publication;
  value["operator"] = aHead.m_operator;
  value["time"] = Json::Int64(aHead.m_time);
  return WriteJson(value);
}

Expected<ConfigurationHead>
DecodeHead(std::string_view aText)
{
  return DecodeWith<ConfigurationHead>(aText, [](const Json::Value& aValue) {
    return ConfigurationHead{ aValue["generation"].asUInt64(),
                              aValue["manifest"].asString(),
                              aValue["publication"].asString(),
                              aValue["operator"].asString(),
                              aValue["time"].asInt64() };
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
  return DecodeWith<Manifest>(aText, [](const Json::Value& aValue) {
    Manifest manifest;
    for (const std::string& service : aValue.getMemberNames()) {
      manifest.m_objects.emplace(service, aValue[service].asString());
    }
    return manifest;
  });
}

}
