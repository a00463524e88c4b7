#include "cr_LoadRun.h"

#include <algorithm>
#include <thread>

#include "cr_Customers.h"
#include "cr_process/cr_process.h"
#include "platform_stand_in/platform_stand_in.h"

namespace cr {

namespace {

constexpr std::uint32_t kThreads = 4;
constexpr Duration kPollInterval = Milliseconds(100);
constexpr Duration kPollTimeout = Seconds(1);
constexpr Duration kMaxAnswerWait = Seconds(15);
/** Time for membership to converge after the nodes start. */
constexpr Duration kSettleTime = Seconds(3);
constexpr Duration kTick = Milliseconds(20);

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
    , m_servers(m_threads, m_scenario, m_configuration)
    , m_customers(m_threads, m_scenario, m_configuration)
  {
  }

  ~Implementation() { m_threads.Stop(); }
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  Expected<void> StartStandIns();
  Expected<void> WaitForNodes(Duration aLimit);
  LoadResult SendLoad();

private:
  bool IsReady(const ScenarioHost& aHost);
  bool NeedsOwners(const std::string& aService) const;
  void Advance(Duration aTime);
  void SendUntil(Instant aStart, Instant aLimit);
  std::map<std::string, std::size_t> HostCounts() const;

  const Scenario m_scenario;
  const Configuration m_configuration;
  IoThreads m_threads;
  HttpClient m_client;
  PlatformServer m_platform;
  ServerFleet m_servers;
  Customers m_customers;
  Duration m_maxLag = Duration::zero();
};

Expected<void>
LoadRun::Implementation::StartStandIns()
{
  const auto listening =
    m_platform.Listen({ m_scenario.m_address, m_scenario.m_platformPort });
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  return m_servers.Start();
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
  if (NeedsOwners(aHost.m_service) &&
      (*status)["owned_partitions"][aHost.m_service].asUInt64() !=
        kPartitionCount) {
    return false;
  }
  const auto counts = HostCounts();
  return std::all_of(counts.begin(), counts.end(), [&](const auto& aCount) {
    return (*status)["hosts"][aCount.first].asUInt64() == aCount.second;
  });
}

bool
LoadRun::Implementation::NeedsOwners(const std::string& aService) const
{
  const auto& operations = m_configuration.m_services.at(aService).m_operations;
  return std::any_of(
    operations.begin(), operations.end(), [](const auto& aOperation) {
      return !aOperation.second.m_idempotent;
    });
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
  LoadResult result;
  if (m_scenario.m_idle > Duration::zero()) {
    std::this_thread::sleep_for(kSettleTime);
  }
  const FleetSnapshot first = FetchSnapshot(m_client, m_scenario);
  std::this_thread::sleep_for(m_scenario.m_idle);
  const FleetSnapshot second = FetchSnapshot(m_client, m_scenario);
  const Instant start = IoThreads::Now();
  m_customers.Begin(start);
  SendUntil(start, start + m_scenario.m_length);
  const FleetSnapshot third = FetchSnapshot(m_client, m_scenario);
  const Instant limit = IoThreads::Now() + kMaxAnswerWait;
  while (m_customers.Open() > 0 && IoThreads::Now() < limit) {
    Advance(IoThreads::Now() - start);
    std::this_thread::sleep_for(kTick);
  }
  result.m_streams = m_customers.Results();
  result.m_servers = m_servers.Record();
  result.m_idle = UsageBetween(first, second);
  result.m_loaded = UsageBetween(second, third);
  result.m_maxLag = m_maxLag;
  return result;
}

void
LoadRun::Implementation::SendUntil(Instant aStart, Instant aLimit)
{
  const std::vector<Arrival> arrivals = PlanArrivals(m_scenario);
  auto next = arrivals.begin();
  Instant tick = aStart;
  while (tick < aLimit) {
    Advance(tick - aStart);
    tick += kTick;
    for (; next != arrivals.end() && aStart + next->m_at < tick; ++next) {
      const Duration lag = IoThreads::Now() - (aStart + next->m_at);
      m_maxLag = std::max(m_maxLag, lag);
      if (lag < Duration::zero()) {
        std::this_thread::sleep_for(-lag);
      }
      m_customers.Start(*next);
    }
    std::this_thread::sleep_for(tick - IoThreads::Now());
  }
}

void
LoadRun::Implementation::Advance(Duration aTime)
{
  std::optional<std::uint32_t> storm;
  PlatformFaults faults;
  for (const Trigger& trigger : m_scenario.m_triggers) {
    if (aTime < trigger.m_start || aTime >= trigger.m_end) {
      continue;
    }
    if (const auto* retries = std::get_if<RetryStormTrigger>(&trigger.m_kind)) {
      storm = retries->m_attempts;
    }
    faults.m_down =
      faults.m_down ||
      std::holds_alternative<PlatformOutageTrigger>(trigger.m_kind);
  }
  m_customers.SetRetryStorm(storm);
  m_platform.SetFaults(faults);
  m_servers.Advance(aTime);
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

}
