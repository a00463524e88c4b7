#include "cr_ResultWriter.h"

#include <fmt/format.h>

#include "cr_settings/cr_settings.h"

namespace cr {

namespace {

Json::Value
EncodeSeries(std::span<const LoadSlice> aSlices,
             std::uint64_t LoadSlice::*aField)
{
  Json::Value list(Json::arrayValue);
  for (const LoadSlice& slice : aSlices) {
    list.append(Json::UInt64(slice.*aField));
  }
  return list;
}

Json::Value
Encode(const OperationName& aOperation, const StreamResult& aStream)
{
  Json::Value value(Json::objectValue);
  value["operation"] = ToText(aOperation);
  value["requests"] = Json::UInt64(aStream.Requests());
  value["tries"] = Json::UInt64(aStream.m_attempts);
  for (std::size_t end = 0; end < kRequestEndCount; ++end) {
    const auto name = std::string(ToText(static_cast<RequestEnd>(end)));
    value["ends"][name] = Json::UInt64(aStream.m_ends.at(end));
  }
  for (const auto& [name, quantile] :
       { std::pair("p50_us", 0.5), std::pair("p99_us", 0.99) }) {
    value[name] = Json::Int64(aStream.m_latency.Quantile(quantile).count());
  }
  value["arrived"] = EncodeSeries(aStream.m_slices, &LoadSlice::m_arrived);
  value["completed"] = EncodeSeries(aStream.m_slices, &LoadSlice::m_completed);
  return value;
}

Json::Value
Encode(const FleetUsage& aUsage)
{
  Json::Value value(Json::objectValue);
  value["processor_share"] = aUsage.m_processorShare;
  value["control_bytes_per_second"] = aUsage.m_controlBytesPerSecond;
  value["greatest_resident_bytes"] = Json::UInt64(aUsage.m_maxResidentBytes);
  return value;
}

Json::Value
Encode(const Trigger& aTrigger)
{
  Json::Value value(Json::objectValue);
  value["kind"] = std::string(ToText(aTrigger.m_kind));
  value["start_ms"] = Json::Int64(ToMilliseconds(aTrigger.m_start));
  value["end_ms"] = Json::Int64(ToMilliseconds(aTrigger.m_end));
  return value;
}

Json::Value
Encode(const Measure& aMeasure)
{
  Json::Value value(Json::objectValue);
  value["name"] = aMeasure.m_name;
  value["value"] = aMeasure.m_value;
  value["unit"] = aMeasure.m_unit;
  value["target"] = aMeasure.m_target;
  value["pass"] = aMeasure.m_pass;
  return value;
}

}

std::string
WriteTable(const LoadResult& aResult)
{
  std::string table = fmt::format("{:<26}{:>9}{:>10}{:>9}{:>9}{:>8}{:>7}{:>11}"
                                  "{:>9}{:>9}\n",
                                  "operation",
                                  "requests",
                                  "completed",
                                  "not run",
                                  "unknown",
                                  "failed",
                                  "wrong",
                                  "no answer",
                                  "p50 us",
                                  "p99 us");
  for (const auto& [operation, stream] : aResult.m_streams) {
    table +=
      fmt::format("{:<26}{:>9}{:>10}{:>9}{:>9}{:>8}{:>7}{:>11}{:>9}{:>9}\n",
                  ToText(operation),
                  stream.Requests(),
                  stream.Count(RequestEnd::Completed),
                  stream.Count(RequestEnd::NotRun),
                  stream.Count(RequestEnd::Unknown),
                  stream.Count(RequestEnd::Failed),
                  stream.Count(RequestEnd::Wrong),
                  stream.Count(RequestEnd::NoAnswer),
                  stream.m_latency.Quantile(0.5).count(),
                  stream.m_latency.Quantile(0.99).count());
  }
  return table + fmt::format("second runs of an idempotency key: {}\n",
                             aResult.m_servers.m_doubleRuns);
}

std::string
WriteResult(const Scenario& aScenario,
            const LoadResult& aResult,
            std::span<const Measure> aMeasures)
{
  Json::Value value(Json::objectValue);
  value["name"] = aScenario.m_name;
  value["seed"] = Json::UInt64(aScenario.m_seed);
  value["nodes"] = Json::UInt64(aScenario.m_hosts.size());
  value["slice_ms"] = Json::Int64(ToMilliseconds(kSliceLength));
  value["length_ms"] = Json::Int64(ToMilliseconds(aScenario.m_length));
  value["greatest_lag_us"] = Json::Int64(aResult.m_maxLag.count());
  value["server_runs"] = Json::UInt64(aResult.m_servers.m_runs);
  value["second_runs"] = Json::UInt64(aResult.m_servers.m_doubleRuns);
  value["server_crashes"] = Json::UInt64(aResult.m_servers.m_crashes);
  value["idle"] = Encode(aResult.m_idle);
  value["loaded"] = Encode(aResult.m_loaded);
  value["triggers"] = Json::Value(Json::arrayValue);
  for (const Trigger& trigger : aScenario.m_triggers) {
    value["triggers"].append(Encode(trigger));
  }
  value["streams"] = Json::Value(Json::arrayValue);
  for (const auto& [operation, stream] : aResult.m_streams) {
    value["streams"].append(Encode(operation, stream));
  }
  value["measures"] = Json::Value(Json::arrayValue);
  for (const Measure& measure : aMeasures) {
    value["measures"].append(Encode(measure));
  }
  return WriteJson(value);
}

}
