#include "tests/cr_RelayTestMesh.h"

namespace cr {

namespace {

constexpr Duration kHop = Milliseconds(1);
constexpr std::uint32_t kSlots = 50;

}

RelayTestMesh::RelayTestMesh(std::size_t aHosts,
                             std::vector<RouteDescription> aRoutes)
  : m_routes(std::move(aRoutes))
{
  m_hosts.resize(aHosts);
  for (std::size_t index = 0; index < aHosts; ++index) {
    m_hosts[index].m_name = "host-" + std::to_string(index);
    m_hosts[index].m_server = "server-" + std::to_string(index);
    Start(index);
  }
  Run(Seconds(4));
}

void
RelayTestMesh::Start(std::size_t aHost, bool aIsAnnounced)
{
  Host& host = m_hosts[aHost];
  RelaySettings settings = RelayTestNode::Settings(host.m_name);
  settings.m_incarnation = Incarnation{ ++host.m_starts };
  settings.m_seed = aHost * 100 + host.m_starts;
  host.m_decisions = std::make_unique<RelayDecisions>(settings);
  host.m_isDown = false;
  host.m_timer = Instant::max();
  RouteConfiguration configuration;
  configuration.m_generation = 1;
  configuration.m_routes = m_routes;
  configuration.m_services["orders"] = { "/health" };
  Feed(aHost, RoutesOffered{ std::move(configuration) });
  if (aIsAnnounced) {
    Announce(aHost);
  }
}

void
RelayTestMesh::Stop(std::size_t aHost)
{
  m_hosts[aHost].m_isDown = true;
  m_hosts[aHost].m_running.clear();
  m_hosts[aHost].m_decisions.reset();
}

void
RelayTestMesh::Announce(std::size_t aHost)
{
  AnnounceLate(aHost, ++m_hosts[aHost].m_sequence);
}

void
RelayTestMesh::AnnounceLate(std::size_t aHost, std::uint64_t aSequence)
{
  const Host& host = m_hosts[aHost];
  ServerAnnouncement announcement;
  announcement.m_id = host.m_server;
  announcement.m_service = "orders";
  announcement.m_slots = kSlots;
  announcement.m_startTime = host.m_serverStart;
  announcement.m_sequence = aSequence;
  Feed(aHost, BackendAnnounced{ announcement });
}

void
RelayTestMesh::Depart(std::size_t aHost)
{
  Host& host = m_hosts[aHost];
  host.m_hasDeparted = true;
  Feed(aHost, BackendLeft{ host.m_server, host.m_serverStart });
}

void
RelayTestMesh::Send(std::size_t aHost,
                    const std::string& aTarget,
                    Duration aDelay)
{
  After(aDelay, [this, aHost, aTarget] {
    RequestArrived event;
    event.m_call = CallId{ ++m_calls };
    event.m_hostName = "shop";
    event.m_target = aTarget;
    event.m_callerTimeout = Seconds(5);
    event.m_content = MakeContentKey({ aTarget });
    m_targets[event.m_call] = aTarget;
    Feed(aHost, event);
  });
}

void
RelayTestMesh::SendAtRate(double aRate,
                          const std::string& aTarget,
                          Duration aTime)
{
  const auto count = static_cast<std::uint64_t>(aRate * ToSeconds(aTime));
  for (std::uint64_t request = 0; request < count; ++request) {
    Send(m_random.NextBelow(m_hosts.size()),
         aTarget,
         Scale(aTime, m_random.NextDouble()));
  }
}

void
RelayTestMesh::Run(Duration aTime)
{
  const Instant end = m_now + aTime;
  while (!m_queue.empty() && m_queue.begin()->first <= end) {
    auto next = m_queue.extract(m_queue.begin());
    m_now = std::max(m_now, next.key());
    next.mapped()();
  }
  m_now = end;
}

void
RelayTestMesh::CrashServer(std::size_t aHost)
{
  Host& host = m_hosts[aHost];
  host.m_isServerDown = true;
  for (const CallId call : std::exchange(host.m_running, {})) {
    Feed(aHost, DispatchEnded{ call, DispatchResult::Broken, std::nullopt });
  }
  After(m_serverDownTime, [this, aHost] {
    Host& restarted = m_hosts[aHost];
    restarted.m_isServerDown = false;
    restarted.m_server += "'";
    ++restarted.m_serverStart;
    Announce(aHost);
  });
}

std::size_t
RelayTestMesh::CountRuns(const std::string& aTarget, Instant aSince) const
{
  std::size_t count = 0;
  for (const Host& host : m_hosts) {
    count += std::count_if(host.m_arrivals.begin(),
                           host.m_arrivals.end(),
                           [&](const Arrival& aArrival) {
                             return aArrival.m_target == aTarget &&
                                    aArrival.m_time >= aSince;
                           });
  }
  return count;
}

std::size_t
RelayTestMesh::MaxArrivals(std::size_t aHost, Instant aSince) const
{
  const auto& arrivals = m_hosts[aHost].m_arrivals;
  std::size_t most = 0;
  for (std::size_t first = 0; first < arrivals.size(); ++first) {
    if (arrivals[first].m_time < aSince) {
      continue;
    }
    std::size_t last = first;
    while (last < arrivals.size() &&
           arrivals[last].m_time < arrivals[first].m_time + Seconds(4)) {
      ++last;
    }
    most = std::max(most, last - first);
  }
  return most;
}

void
RelayTestMesh::AnnounceRepeatedly(std::size_t aHost, Duration aTime)
{
  constexpr Duration interval = Milliseconds(1500);
  for (Duration delay = Duration::zero(); delay < aTime; delay += interval) {
    After(delay, [this, aHost] { Announce(aHost); });
  }
}

//==============================================================================
void
RelayTestMesh::After(Duration aDelay, std::function<void()> aFunction)
{
  m_queue.emplace(m_now + aDelay, std::move(aFunction));
}

void
RelayTestMesh::Feed(std::size_t aHost, const RelayEvent& aEvent)
{
  Host& host = m_hosts[aHost];
  if (host.m_isDown) {
    return;
  }
  RelayActions actions;
  host.m_decisions->Handle(aEvent, m_now, actions);
  for (const RelayAction& action : actions) {
    Execute(aHost, action);
  }
  const Instant due =
    std::max(host.m_decisions->NextWakeup(), m_now + Milliseconds(1));
  if (due < host.m_timer && due < m_now + Seconds(60)) {
    host.m_timer = due;
    After(due - m_now, [this, aHost, due] {
      if (m_hosts[aHost].m_timer == due) {
        m_hosts[aHost].m_timer = Instant::max();
        Feed(aHost, RelayTimerDue{});
      }
    });
  }
}

void
RelayTestMesh::Execute(std::size_t aHost, const RelayAction& aAction)
{
  if (const auto* forward = std::get_if<ForwardRequest>(&aAction)) {
    ExecuteForward(aHost, *forward);
  } else if (const auto* dispatch = std::get_if<DispatchRequest>(&aAction)) {
    ExecuteDispatch(aHost, *dispatch);
  } else if (const auto* call = std::get_if<RelayCallStore>(&aAction)) {
    ExecuteStoreCall(aHost, *call);
  } else if (const auto* answer = std::get_if<AnswerPeer>(&aAction)) {
    const Forward origin = m_forwards.at(answer->m_call);
    After(kHop, [this, origin, report = answer->m_report] {
      if (m_hosts[origin.m_origin].m_starts == origin.m_originStart) {
        Feed(origin.m_origin, ForwardAnswered{ origin.m_call, report });
      }
    });
  } else if (const auto* message = std::get_if<AnswerServer>(&aAction)) {
    Host& host = m_hosts[aHost];
    host.m_isDepartureAcknowledged |=
      host.m_hasDeparted && message->m_isAcknowledged;
  } else if (const auto* served = std::get_if<RelayAnswer>(&aAction)) {
    ++m_served;
    ++m_servedByTarget[m_targets[served->m_call]];
  } else if (std::holds_alternative<RefuseRequest>(aAction)) {
    ++m_refused;
  } else if (const auto* fetch = std::get_if<FetchPeerRoutes>(&aAction)) {
    ExecuteFetch(aHost, *fetch);
  } else if (const auto* report = std::get_if<ReportSuspects>(&aAction)) {
    for (const Endpoint& peer : report->m_peers) {
      After(kHop, [this, peer, suspects = report->m_suspects] {
        Feed(FindHost(peer), SuspectsReported{ suspects });
      });
    }
  } else if (std::holds_alternative<CheckHealth>(aAction)) {
    After(kHop, [this, aHost] {
      const Host& host = m_hosts[aHost];
      if (host.m_isServerDown) {
        HealthChecked refused;
        refused.m_isUnreachable = true;
        Feed(aHost, refused);
        return;
      }
      const bool isLeaving = host.m_condition.m_isLeaving || host.m_hasDeparted;
      const bool isHealthy = !isLeaving || host.m_hasFalseHealth;
      Feed(aHost,
           HealthChecked{ isHealthy, host.m_server, kSlots, host.m_condition });
    });
  }
}

void
RelayTestMesh::ExecuteForward(std::size_t aHost, const ForwardRequest& aForward)
{
  const std::size_t index = FindHost(aForward.m_peer);
  const Forward forward{ aHost, m_hosts[aHost].m_starts, aForward.m_call };
  After(kHop, [this, index, forward, header = aForward.m_header] {
    if (m_hosts[index].m_isDown) {
      Feed(forward.m_origin, ForwardFailed{ forward.m_call, false, false });
      return;
    }
    const CallId call{ ++m_calls };
    m_forwards[call] = forward;
    Feed(index, PeerRequestArrived{ call, header, "orders" });
  });
}

/* Fetches no routes, as all nodes have the same, but exchanges suspects. */
void
RelayTestMesh::ExecuteFetch(std::size_t aHost, const FetchPeerRoutes& aFetch)
{
  After(kHop, [this, aHost, aFetch] {
    const std::size_t peer = FindHost(aFetch.m_peer);
    PeerRoutesFetched event;
    event.m_isAnswered = !m_hosts[peer].m_isDown;
    if (event.m_isAnswered) {
      event.m_suspects = m_hosts[peer].m_decisions->Suspects(m_now);
      Feed(peer, SuspectsReported{ aFetch.m_suspects });
    }
    Feed(aHost, event);
  });
}

std::size_t
RelayTestMesh::FindHost(const Endpoint& aPeer) const
{
  const auto host =
    std::find_if(m_hosts.begin(), m_hosts.end(), [&](const Host& aOther) {
      return aOther.m_name == aPeer.m_address;
    });
  return static_cast<std::size_t>(host - m_hosts.begin());
}

void
RelayTestMesh::ExecuteDispatch(std::size_t aHost,
                               const DispatchRequest& aDispatch)
{
  Host& host = m_hosts[aHost];
  const CallId call = aDispatch.m_call;
  const auto forward = m_forwards.find(call);
  const std::size_t origin =
    forward != m_forwards.end() ? forward->second.m_origin : aHost;
  if (host.m_isServerDown || aDispatch.m_server != host.m_server) {
    const DispatchResult result = host.m_isServerDown
                                    ? DispatchResult::Unreachable
                                    : DispatchResult::WrongServer;
    After(kHop, [this, aHost, call, result] {
      Feed(aHost, DispatchEnded{ call, result, std::nullopt });
    });
    return;
  }
  const std::string target = TargetOf(call);
  host.m_arrivals.push_back({ m_now, origin, aDispatch.m_server, target });
  host.m_running.insert(call);
  After(host.m_serviceTime, [this, aHost, call, target] {
    if (!m_hosts[aHost].m_running.contains(call)) {
      return;
    }
    if (m_crashingTargets.contains(target)) {
      m_crashes[target].push_back(m_now);
      CrashServer(aHost);
      return;
    }
    m_hosts[aHost].m_running.erase(call);
    Feed(aHost,
         DispatchEnded{
           call, DispatchResult::Answered, m_hosts[aHost].m_condition });
  });
}

/* Returns the target of a customer's request, or of one that was forwarded. */
std::string
RelayTestMesh::TargetOf(CallId aCall) const
{
  const auto forward = m_forwards.find(aCall);
  return m_targets.at(forward != m_forwards.end() ? forward->second.m_call
                                                  : aCall);
}

void
RelayTestMesh::ExecuteStoreCall(std::size_t aHost, const RelayCallStore& aCall)
{
  const std::uint64_t start = m_hosts[aHost].m_starts;
  const auto answer = [this, aHost, aCall, start] {
    if (m_isPlatformAway) {
      return false;
    }
    StoreAnswer result = m_platform.Execute(aCall.m_request);
    const auto* changes = std::get_if<RowChanges>(&result);
    if (changes != nullptr && changes->m_changes.empty()) {
      return false;
    }
    if (m_hosts[aHost].m_starts == start) {
      Feed(aHost, RelayStoreAnswered{ aCall.m_id, std::move(result) });
    }
    return true;
  };
  After(kHop, [this, answer, aCall] {
    if (!answer()) {
      m_watches.emplace_back(answer);
    }
    if (std::holds_alternative<TransactRequest>(aCall.m_request)) {
      AnswerWatches();
    }
  });
}

void
RelayTestMesh::AnswerWatches()
{
  const auto watches = std::exchange(m_watches, {});
  for (const auto& watch : watches) {
    if (!watch()) {
      m_watches.push_back(watch);
    }
  }
}

}
