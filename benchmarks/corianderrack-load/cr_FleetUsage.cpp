#include "cr_FleetUsage.h"

#include <algorithm>

#include "cr_process/cr_process.h"

namespace cr {

namespace {

constexpr Duration kStatusTimeout = Seconds(1);

}

FleetSnapshot
FetchSnapshot(HttpClient& aClient, const Scenario& aScenario)
{
  FleetSnapshot snapshot;
  snapshot.m_takenAt = IoThreads::Now();
  for (const ScenarioHost& host : aScenario.m_hosts) {
    const HttpResult result =
      aClient.SendAndWait(OperatorEndpoint(aScenario, host),
                          { "GET", std::string(kStatusPath), {}, {} },
                          kStatusTimeout);
    const auto* response = std::get_if<HttpResponse>(&result);
    if (response == nullptr) {
      continue;
    }
    const auto status = ParseJson(response->m_body);
    if (!status) {
      continue;
    }
    const Json::Value& usage = (*status)["usage"];
    snapshot.m_nodes[host.m_host] = { Duration(usage["processor_us"].asInt64()),
                                      usage["resident_bytes"].asUInt64(),
                                      usage["control_bytes"].asUInt64() };
  }
  return snapshot;
}

FleetUsage
UsageBetween(const FleetSnapshot& aFirst, const FleetSnapshot& aSecond)
{
  FleetUsage usage;
  Duration processor = Duration::zero();
  std::uint64_t bytes = 0;
  double nodes = 0;
  for (const auto& [host, second] : aSecond.m_nodes) {
    const auto first = aFirst.m_nodes.find(host);
    if (first == aFirst.m_nodes.end()) {
      continue;
    }
    nodes += 1;
    processor += second.m_processor - first->second.m_processor;
    bytes += second.m_controlBytes - first->second.m_controlBytes;
    usage.m_maxResidentBytes =
      std::max(usage.m_maxResidentBytes, second.m_residentBytes);
  }
  const auto span =
    static_cast<double>((aSecond.m_takenAt - aFirst.m_takenAt).count());
  if (nodes > 0 && span > 0) {
    usage.m_processorShare =
      static_cast<double>(processor.count()) / span / nodes;
    usage.m_controlBytesPerSecond =
      static_cast<double>(bytes) / (span / 1e6) / nodes;
  }
  return usage;
}

}
