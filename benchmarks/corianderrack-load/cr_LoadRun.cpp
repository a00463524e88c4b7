#include "cr_LoadRun.h"

#include <atomic>
#include <cmath>
#include <thread>

#include <fmt/format.h>

#include "cr_process/cr_process.h"
#include "cr_transport/cr_transport.h"
#include "platform_stand_in/platform_stand_in.h"
#include "server_stand_in/server_stand_in.h"

namespace cr {

namespace {

constexpr std::uint32_t kThreads = 4;
constexpr Duration kPollInterval = Milliseconds(100);
constexpr Duration kPollTimeout = Seconds(1);
constexpr Duration kAnswerLimit = Seconds(10);

/* One request that is to be sent at a time after the start. */
struct Arrival
{
  Duration m_at = Duration::zero();
  OperationName m_operation;
  RequestId m_request;
  std::uint64_t m_keyHigh = 0;
  std::uint64_t m_keyLow = 0;
  std::size_t m_host = 0;
};

std::vector<Arrival>
PlanArrivals(const Scenario& aScenario)
{
  std::vector<Arrival> arrivals;
  std::uint64_t streamNumber = 0;
  for (const ScenarioStream& stream : aScenario.m_streams) {
    Random random(Hash(aScenario.m_seed, ++streamNumber));
    double at = 0;
    const auto rate = static_cast<double>(stream.m_perSecond);
    while (rate > 0) {
      at += -std::log(1.0 - random.Unit()) / rate;
      const Duration time(static_cast<Duration::rep>(at * 1e6));
      if (time >= aScenario.m_length) {
        break;
      }
      Arrival arrival;
      arrival.m_at = time;
      arrival.m_operation = stream.m_operation;
      arrival.m_request.m_high = random.Next();
      arrival.m_request.m_low = random.Next();
      arrival.m_keyHigh = random.Next();
      arrival.m_keyLow = random.Next();
      arrival.m_host = random.Below(aScenario.m_hosts.size());
      arrivals.push_back(std::move(arrival));
    }
  }
  std::sort(arrivals.begin(),
            arrivals.end(),
            [](const Arrival& aLeft, const Arrival& aRight) {
              return aLeft.m_at < aRight.m_at;
            });
  return arrivals;
}

void
CountAnswer(const HttpResult& aResult,
            const std::string& aExpected,
            StreamResult& aStream)
{
  const auto* response = std::get_if<HttpResponse>(&aResult);
  if (response == nullptr) {
    ++aStream.m_noAnswer;
    return;
  }
  const auto outcome =
    ParseOutcome(FindHeader(response->m_headers, kOutcomeHeader));
  if (!outcome) {
    ++aStream.m_wrong;
  } else if (*outcome == Outcome::NotRun) {
    ++aStream.m_notRun;
  } else if (*outcome == Outcome::Unknown) {
    ++aStream.m_unknown;
  } else if (response->m_status != kHttpOk) {
    ++aStream.m_failed;
  } else {
    ++(response->m_body == aExpected ? aStream.m_completed : aStream.m_wrong);
  }
}

}

class LoadRun::Implementation
{
public:
  Implementation(Scenario aScenario, Configuration aConfiguration)
    : m_scenario(std::move(aScenario))
    , m_configuration(std::move(aConfiguration))
    , m_threads(kThreads)
    , m_client(m_threads, {})
    , m_platform(m_threads)
  {
  }

  ~Implementation() { m_threads.Stop(); }

  Expected<void> StartStandIns();
  Expected<void> WaitForNodes(Duration aLimit);
  LoadResult SendLoad();
  std::uint64_t DoubleRuns() const;

private:
  bool IsReady(const ScenarioHost& aHost);
  void Send(const Arrival& aArrival);
  std::map<std::string, std::size_t> HostCounts() const;

  Scenario m_scenario;
  Configuration m_configuration;
  Guarded<LoadResult> m_result;
  std::atomic<std::size_t> m_open{ 0 };
  IoThreads m_threads;
  HttpClient m_client;
  PlatformServer m_platform;
  std::vector<std::unique_ptr<BackendServer>> m_servers;
};

Expected<void>
LoadRun::Implementation::StartStandIns()
{
  const auto listening =
    m_platform.Listen({ m_scenario.m_address, m_scenario.m_platformPort });
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  for (const ScenarioHost& host : m_scenario.m_hosts) {
    const auto service = m_configuration.m_services.find(host.m_service);
    if (service == m_configuration.m_services.end()) {
      return Failure(ErrorCode::NotFound, "no service " + host.m_service);
    }
    BackendServerPlan plan;
    plan.m_service = service->second;
    plan.m_node = CallerEndpoint(m_scenario, host);
    plan.m_listen = ServerEndpoint(m_scenario, host);
    plan.m_slots = host.m_slots;
    plan.m_serviceTime = m_scenario.m_serviceTime;
    m_servers.push_back(std::make_unique<BackendServer>(m_threads, plan));
    if (const auto started = m_servers.back()->Start(); !started) {
      return tl::unexpected(started.error());
    }
  }
  return {};
}

Expected<void>
LoadRun::Implementation::WaitForNodes(Duration aLimit)
{
  const Instant limit = IoThreads::Now() + aLimit;
  for (const ScenarioHost& host : m_scenario.m_hosts) {
    while (!IsReady(host)) {
      if (IoThreads::Now() >= limit) {
        return Failure(ErrorCode::TimedOut,
                       "node " + host.m_host + " is not ready");
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return {};
}

bool
LoadRun::Implementation::IsReady(const ScenarioHost& aHost)
{
  const HttpResult result =
    m_client.SendAndWait(OperatorEndpoint(m_scenario, aHost),
                         { "GET", std::string(kStatusPath), {}, {} },
                         kPollTimeout);
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr) {
    return false;
  }
  const auto status = ParseJson(response->m_body);
  if (!status || (*status)["generation"].asUInt64() == 0) {
    return false;
  }
  for (const auto& [service, count] : HostCounts()) {
    if ((*status)["hosts"][service].asUInt64() != count) {
      return false;
    }
  }
  return true;
}

std::map<std::string, std::size_t>
LoadRun::Implementation::HostCounts() const
{
  std::map<std::string, std::size_t> counts;
  for (const ScenarioHost& host : m_scenario.m_hosts) {
    ++counts[host.m_service];
  }
  return counts;
}

LoadResult
LoadRun::Implementation::SendLoad()
{
  const Instant start = IoThreads::Now();
  for (const Arrival& arrival : PlanArrivals(m_scenario)) {
    std::this_thread::sleep_for(start + arrival.m_at - IoThreads::Now());
    Send(arrival);
  }
  const Instant limit = IoThreads::Now() + kAnswerLimit;
  while (m_open > 0 && IoThreads::Now() < limit) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
  return m_result.With([](const LoadResult& aResult) { return aResult; });
}

void
LoadRun::Implementation::Send(const Arrival& aArrival)
{
  const ScenarioHost& host = m_scenario.m_hosts.at(aArrival.m_host);
  const std::string request = ToText(aArrival.m_request);
  HttpRequest message;
  message.m_method = "POST";
  message.m_target = std::string(kCallPrefix) + ToText(aArrival.m_operation);
  message.m_headers = { { std::string(kRequestHeader), request },
                        { std::string(kKeyHeader),
                          ToText(MakeIdempotencyKey(IoThreads::WallNow(),
                                                    aArrival.m_keyHigh,
                                                    aArrival.m_keyLow)) } };
  const std::string expected =
    ExpectedAnswer(m_configuration, aArrival.m_operation, request);
  const Instant sent = IoThreads::Now();
  ++m_open;
  m_client.Send(CallerEndpoint(m_scenario, host),
                std::move(message),
                kAnswerLimit,
                [this, expected, sent, operation = aArrival.m_operation](
                  const HttpResult& aResult) {
                  const Duration latency = IoThreads::Now() - sent;
                  m_result.With([&](LoadResult& aLoad) {
                    StreamResult& stream = aLoad[operation];
                    ++stream.m_sent;
                    stream.m_latencies.push_back(latency);
                    CountAnswer(aResult, expected, stream);
                  });
                  --m_open;
                });
}

std::uint64_t
LoadRun::Implementation::DoubleRuns() const
{
  std::uint64_t runs = 0;
  for (const auto& server : m_servers) {
    runs += server->Record().m_doubleRuns;
  }
  return runs;
}

//==============================================================================
LoadRun::LoadRun(Scenario aScenario, Configuration aConfiguration)
  : m_implementation(
      std::make_unique<Implementation>(std::move(aScenario),
                                       std::move(aConfiguration)))
{
}

LoadRun::~LoadRun() = default;

Expected<void>
LoadRun::StartStandIns()
{
  return m_implementation->StartStandIns();
}

Expected<void>
LoadRun::WaitForNodes(Duration aLimit)
{
  return m_implementation->WaitForNodes(aLimit);
}

LoadResult
LoadRun::SendLoad()
{
  return m_implementation->SendLoad();
}

std::uint64_t
LoadRun::DoubleRuns() const
{
  return m_implementation->DoubleRuns();
}

}
