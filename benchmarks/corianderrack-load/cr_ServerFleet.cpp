#include "cr_ServerFleet.h"

namespace cr {

namespace {

constexpr Duration kRestartTime = Seconds(1);

bool
IsActive(const Trigger& aTrigger, Duration aTime)
{
  return aTrigger.m_start <= aTime && aTime < aTrigger.m_end;
}

void
AddRecord(const BackendServer& aServer, ServerFleetRecord& aSum)
{
  const BackendServerCounters record = aServer.Counters();
  aSum.m_runs += record.m_runs;
  aSum.m_doubleRuns += record.m_duplicateRuns;
}

}

ServerFleet::ServerFleet(IoThreads& aThreads,
                         const Scenario& aScenario,
                         const Configuration& aConfiguration)
  : m_threads(aThreads)
  , m_scenario(aScenario)
  , m_configuration(aConfiguration)
  , m_servers(aScenario.m_hosts.size())
{
}

Expected<void>
ServerFleet::Start()
{
  for (std::size_t host = 0; host < m_servers.size(); ++host) {
    if (auto started = StartServer(host); !started) {
      return started;
    }
  }
  return {};
}

void
ServerFleet::Advance(Duration aTime)
{
  for (std::size_t host = 0; host < m_servers.size(); ++host) {
    AdvanceLeave(host, aTime);
    AdvanceCrash(host, aTime);
    Server& server = m_servers.at(host);
    if (server.m_server) {
      server.m_server->SetFaults(FaultsAt(m_scenario.m_hosts.at(host), aTime));
    }
  }
}

ServerFleetRecord
ServerFleet::Record() const
{
  ServerFleetRecord sum = m_retired;
  for (const Server& server : m_servers) {
    if (server.m_server) {
      AddRecord(*server.m_server, sum);
    }
  }
  return sum;
}

Expected<void>
ServerFleet::StartServer(std::size_t aHost)
{
  const ScenarioHost& host = m_scenario.m_hosts.at(aHost);
  const auto service = m_configuration.m_services.find(host.m_service);
  if (service == m_configuration.m_services.end()) {
    return Failure(ErrorCode::NotFound, "no service " + host.m_service);
  }
  Server& server = m_servers.at(aHost);
  BackendServerOptions plan;
  plan.m_service = service->second;
  plan.m_node = CallerEndpoint(m_scenario, host);
  plan.m_listen = ServerEndpoint(m_scenario, host);
  plan.m_slots = host.m_slots;
  plan.m_serviceTime = host.m_serviceTime;
  plan.m_instance = ++server.m_instance;
  plan.m_runKeys = m_runKeys;
  server.m_stoppedAt.reset();
  server.m_server = std::make_unique<BackendServer>(m_threads, plan);
  if (const auto started = server.m_server->Start(); !started) {
    return tl::unexpected(started.error());
  }
  return {};
}

void
ServerFleet::AdvanceLeave(std::size_t aHost, Duration aTime)
{
  Server& server = m_servers.at(aHost);
  if (!server.m_server) {
    return;
  }
  const bool leaving = IsLeaving(m_scenario.m_hosts.at(aHost), aTime);
  if (leaving && !server.m_leftAt) {
    server.m_leftAt = aTime;
    server.m_server->Leave();
  }
  if (server.m_leftAt && !server.m_runsAtNotice &&
      aTime >= *server.m_leftAt + kLeaveNotice) {
    server.m_runsAtNotice = server.m_server->Counters().m_runs;
  }
  if (!leaving && server.m_leftAt) {
    if (server.m_runsAtNotice) {
      m_retired.m_runsAfterLeave +=
        server.m_server->Counters().m_runs - *server.m_runsAtNotice;
    }
    server.m_leftAt.reset();
    server.m_runsAtNotice.reset();
    Retire(server);
    server.m_stoppedAt = aTime;
  }
}

void
ServerFleet::AdvanceCrash(std::size_t aHost, Duration aTime)
{
  Server& server = m_servers.at(aHost);
  if (server.m_server && server.m_server->HasCrashed()) {
    ++m_retired.m_crashes;
    Retire(server);
    server.m_stoppedAt = aTime;
  }
  if (!server.m_server && server.m_stoppedAt &&
      aTime >= *server.m_stoppedAt + kRestartTime) {
    if (!StartServer(aHost)) {
      Retire(server);
      server.m_stoppedAt = aTime;
    }
  }
}

void
ServerFleet::Retire(Server& aServer)
{
  AddRecord(*aServer.m_server, m_retired);
  aServer.m_server.reset();
}

BackendServerFaults
ServerFleet::FaultsAt(const ScenarioHost& aHost, Duration aTime) const
{
  BackendServerFaults faults;
  for (const Trigger& trigger : m_scenario.m_triggers) {
    const auto* slow = std::get_if<SlowServiceTrigger>(&trigger.m_kind);
    if (slow != nullptr && slow->m_service == aHost.m_service &&
        IsActive(trigger, aTime)) {
      faults.m_extraTime += slow->m_extra;
    }
    /* Retries can arrive after the trigger and still crash a server. */
    faults.m_crashes =
      faults.m_crashes ||
      std::holds_alternative<CrashRequestsTrigger>(trigger.m_kind);
  }
  return faults;
}

bool
ServerFleet::IsLeaving(const ScenarioHost& aHost, Duration aTime) const
{
  for (const Trigger& trigger : m_scenario.m_triggers) {
    const auto* leave = std::get_if<ServerLeaveTrigger>(&trigger.m_kind);
    if (leave != nullptr && leave->m_host == aHost.m_host &&
        IsActive(trigger, aTime)) {
      return true;
    }
  }
  return false;
}

}
