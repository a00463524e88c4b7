#include "cr_relay/flow/cr_RelayControlFlow.h"

#include <algorithm>
#include <map>
#include <utility>

#include <fmt/format.h>

namespace cr {

namespace {

/* Min time between two requests to other nodes for their routes. */
constexpr Duration kMinPeerFetchInterval = Milliseconds(100);
/* A written row that the cached table does not show after this time is written
   again. */
constexpr Duration kRowVisibilityTimeout = Seconds(3);
/* Max time until a message in which the backend server says that it leaves is
   answered; servers wait a second. */
constexpr Duration kLeaveAnswerTimeout = Milliseconds(700);
/* A host that is unreachable for this long is considered permanently lost. A
   restarting host is back sooner, and writes its row again in any case. */
constexpr Duration kRowRemovalDelay = Seconds(10);
/* Each node adds a delay within this time before it removes a row, because one
   removal suffices. */
constexpr Duration kRowRemovalSpread = Seconds(10);
/* In this time after a restoration of the platform, nodes that can reach it
   write their rows again. */
constexpr Duration kLostRowGrace = Seconds(20);
/* Mean time between two requests to random nodes for newer routes. */
constexpr Duration kRandomFetchInterval = Seconds(1);
/* Max number of suspects that two nodes report to each other at a time. */
constexpr std::size_t kMaxExchangedSuspects = 32;
/* Number of nodes that a started node asks until one answers. */
constexpr std::size_t kMaxPeerAttempts = 3;

RouteTarget
ToTarget(const NodeRow& aRow)
{
  return { aRow.m_host,
           aRow.m_incarnation,
           aRow.m_region,
           aRow.m_dataCentre,
           aRow.m_peer };
}

using RowsByService = std::map<std::string, std::vector<NodeRow>>;

/* Returns the addresses of the nodes, without that of the host. */
std::vector<Endpoint>
PeersOf(const RowsByService& aRows, const HostName& aHost)
{
  std::vector<Endpoint> peers;
  for (const auto& [service, rows] : aRows) {
    for (const NodeRow& row : rows) {
      if (row.m_host != aHost) {
        peers.push_back(row.m_peer);
      }
    }
  }
  return peers;
}

}

RelayControlFlow::RelayControlFlow(RelayShared& aShared)
  : m_shared(aShared)
  , m_nodes(std::string(kNodeTable), Hash(aShared.m_settings.m_seed, 11))
  , m_routes(aShared.m_settings.m_routesRow.m_table,
             Hash(aShared.m_settings.m_seed, 12))
  , m_rowPace(Hash(aShared.m_settings.m_seed, 13))
  , m_random(Hash(aShared.m_settings.m_seed, 14))
{
  const RelaySettings& settings = m_shared.m_settings;
  m_ownRow.m_host = settings.m_host;
  m_ownRow.m_incarnation = settings.m_incarnation;
  m_ownRow.m_region = settings.m_region;
  m_ownRow.m_dataCentre = settings.m_dataCentre;
  m_ownRow.m_peer = settings.m_peer;
  m_ownRow.m_service = settings.m_service;
}

void
RelayControlFlow::Handle(const RelayStoreAnswered& aEvent,
                         Instant aNow,
                         RelayActions& aActions)
{
  if (aEvent.m_era && aEvent.m_era > m_era) {
    OnStoreEra(*aEvent.m_era, aNow, aActions);
  }
  const std::size_t client = aEvent.m_id % kClientCount;
  if (m_pendingCalls.at(client) != aEvent.m_id) {
    return;
  }
  m_pendingCalls.at(client) = 0;
  RepeatUnansweredCalls(aEvent.m_answer, aNow);
  switch (static_cast<Client>(client)) {
    case Client::Nodes:
      ApplyNodeChanges(
        m_nodes.HandleAnswer(aEvent.m_answer, aNow), aNow, aActions);
      break;
    case Client::Routes:
      ApplyRouteChanges(m_routes.HandleAnswer(aEvent.m_answer, aNow));
      break;
    case Client::OwnRow:
      HandleOwnRowAnswer(aEvent.m_answer, aNow);
      break;
    case Client::UnreachableRow:
      m_isRemovingRow = false;
      break;
  }
  LogPlatformReachability(aActions);
}

void
RelayControlFlow::Handle(const PeerRoutesFetched& aEvent,
                         Instant aNow,
                         RelayActions& /*aActions*/)
{
  m_shared.m_suspects.Merge(aEvent.m_suspects, aNow);
  m_isFetchingPeerRoutes = false;
  m_hasAskedPeer |= aEvent.m_isAnswered;
}

void
RelayControlFlow::Handle(const SuspectsReported& aEvent,
                         Instant aNow,
                         RelayActions& /*aActions*/)
{
  m_shared.m_suspects.Merge(aEvent.m_suspects, aNow);
}

void
RelayControlFlow::Handle(const RoutesOffered& aEvent,
                         Instant /*aNow*/,
                         RelayActions& aActions)
{
  const Generation before = m_shared.m_routes.ActiveGeneration();
  const bool isNew = m_shared.m_routes.Adopt(aEvent.m_configuration);
  if (isNew) {
    aActions.emplace_back(
      LogDecision{ "routes",
                   std::nullopt,
                   fmt::format("\"generation\":{},\"before\":{},\"routes\":{}",
                               m_shared.m_routes.ActiveGeneration(),
                               before,
                               aEvent.m_configuration.m_routes.size()) });
  }
}

void
RelayControlFlow::OnPeerGeneration(Generation aGeneration,
                                   const Endpoint& aPeer,
                                   Instant aNow,
                                   RelayActions& aActions)
{
  if (aGeneration <= m_shared.m_routes.ActiveGeneration() ||
      m_isFetchingPeerRoutes || aNow < m_nextPeerFetch) {
    return;
  }
  FetchRoutesFrom(aPeer, aNow, aActions);
}

void
RelayControlFlow::SetServer(const AnnouncedServer& aServer,
                            const std::optional<ServerStart>& aDeparture)
{
  const ServerState state =
    m_shared.m_isLeaving && aServer.m_state == ServerState::Ready
      ? ServerState::Leaving
      : aServer.m_state;
  const std::string& service = aServer.m_service.empty()
                                 ? m_shared.m_settings.m_service
                                 : aServer.m_service;
  if (m_ownRow.m_state == state && m_ownRow.m_service == service &&
      m_ownRow.m_departure == aDeparture) {
    return;
  }
  m_ownRow.m_state = state;
  m_ownRow.m_service = service;
  m_ownRow.m_departure = aDeparture;
  ++m_ownRow.m_revision;
  m_isRowWritten = false;
}

void
RelayControlFlow::AnswerWhenStored(CallId aCall, Instant aNow)
{
  m_pendingLeaves.push_back({ aCall, aNow });
}

void
RelayControlFlow::Advance(Instant aNow, RelayActions& aActions)
{
  DropLostRows(aNow, aActions);
  if (auto call = m_routes.NextCall(aNow)) {
    Call(Client::Routes, std::move(*call), aActions);
  }
  if (auto call = m_nodes.NextCall(aNow)) {
    Call(Client::Nodes, std::move(*call), aActions);
  }
  AskFirstPeerForRoutes(aNow, aActions);
  AskRandomPeerForRoutes(aNow, aActions);
  WriteOwnRow(aNow, aActions);
  RemoveUnreachableRow(aNow, aActions);
  AnswerLeaves(aNow, aActions);
}

std::optional<Instant>
RelayControlFlow::NextWakeup() const
{
  Instant due = Instant::max();
  for (const auto& follower : { m_nodes.NextWakeup(), m_routes.NextWakeup() }) {
    due = std::min(due, follower.value_or(Instant::max()));
  }
  if (!m_nodes.IsScanning() && !m_isWritingRow && !IsOwnRowCurrent()) {
    due = std::min(due,
                   m_isRowWritten ? m_rowWritten + kRowVisibilityTimeout
                                  : m_rowPace.NotBefore());
  }
  if (IsLoaded()) {
    due = std::min(due, m_nextRandomFetch);
  }
  if (!m_pendingLeaves.empty()) {
    due =
      std::min(due, m_pendingLeaves.front().m_arrived + kLeaveAnswerTimeout);
  }
  if (!m_nodes.IsScanning() && m_shared.m_directory.HasLostRows()) {
    due = std::min(due, m_keepLostRowsUntil);
  }
  if (CanRemoveRows()) {
    for (const auto& [host, unreachable] : m_shared.m_unreachableHosts) {
      due = std::min(due, RemovalTime(host, unreachable.m_since));
    }
  }
  return due;
}

std::vector<Suspect>
RelayControlFlow::Suspects(Instant aNow) const
{
  return m_shared.m_suspects.Recent(aNow, kMaxExchangedSuspects);
}

bool
RelayControlFlow::IsLoaded() const
{
  return m_nodes.IsLoaded() && m_hasAskedPeer &&
         m_shared.m_routes.ActiveGeneration() > 0;
}

bool
RelayControlFlow::IsPlatformReachable() const
{
  return m_nodes.IsConnected() && m_routes.IsConnected();
}

//==============================================================================
void
RelayControlFlow::Call(Client aClient,
                       StoreRequest aRequest,
                       RelayActions& aActions)
{
  const std::uint64_t id =
    ++m_calls * kClientCount + static_cast<std::uint64_t>(aClient);
  m_pendingCalls.at(static_cast<std::size_t>(aClient)) = id;
  aActions.emplace_back(RelayCallStore{ id, std::move(aRequest) });
}

void
RelayControlFlow::ApplyNodeChanges(const TableChanges& aTableChanges,
                                   Instant aNow,
                                   RelayActions& aActions)
{
  if (aTableChanges.m_changes.empty() && !aTableChanges.m_isSnapshot) {
    return;
  }
  FleetDirectory& directory = m_shared.m_directory;
  const bool mayHaveLostRows =
    aTableChanges.m_isSnapshot && aNow < m_keepLostRowsUntil;
  for (const UnreadableRow& row : mayHaveLostRows
                                    ? directory.ApplyRestored(aTableChanges)
                                    : directory.Apply(aTableChanges)) {
    aActions.emplace_back(LogDecision{
      "unreadable-row",
      std::nullopt,
      fmt::format("\"key\":\"{}\",\"why\":\"{}\"", row.m_key, row.m_text) });
  }
  for (const RowChange& change : aTableChanges.m_changes) {
    m_shared.m_unreachableHosts.erase(change.m_row.m_key);
  }
  m_shared.m_hostCounts = m_shared.m_directory.CountByService();
  std::map<std::string, std::vector<RouteTarget>> targets;
  for (const auto& [service, rows] : m_shared.m_directory.ReadyByService()) {
    std::transform(
      rows.begin(), rows.end(), std::back_inserter(targets[service]), ToTarget);
  }
  const RelaySettings& settings = m_shared.m_settings;
  for (const auto& [service, list] : targets) {
    m_shared.m_routers.try_emplace(
      service,
      NodeLocality{ settings.m_host, settings.m_region, settings.m_dataCentre },
      Hash(service, settings.m_seed),
      settings.m_hasOverloadControl ? PolicySwitches() : NaivePolicy());
  }
  for (auto& [service, router] : m_shared.m_routers) {
    router.Update(targets[service], aNow);
  }
  if (IsOwnRowCurrent()) {
    m_isRowWritten = false;
  }
  aActions.emplace_back(
    LogDecision{ "nodes",
                 std::nullopt,
                 fmt::format("\"changes\":{},\"whole\":{},\"nodes\":{}",
                             aTableChanges.m_changes.size(),
                             aTableChanges.m_isSnapshot,
                             m_shared.m_directory.Size()) });
}

void
RelayControlFlow::ApplyRouteChanges(const TableChanges& aTableChanges)
{
  for (const RowChange& change : aTableChanges.m_changes) {
    if (change.m_row.m_key == m_shared.m_settings.m_routesRow.m_key &&
        !change.m_isRemoved) {
      m_heldRoutes = change.m_row.m_value;
    }
  }
}

void
RelayControlFlow::HandleOwnRowAnswer(const StoreAnswer& aAnswer, Instant aNow)
{
  m_isWritingRow = false;
  if (std::holds_alternative<Committed>(aAnswer)) {
    m_rowPace.OnSuccess();
    // A change during the write has reset m_isRowWritten and is written next.
    m_rowWritten = aNow;
    return;
  }
  m_isRowWritten = false;
  if (const auto* failed = std::get_if<ConditionFailed>(&aAnswer)) {
    m_ownVersion = failed->m_found.empty() ? 0 : failed->m_found[0].m_version;
  }
  m_rowPace.OnFailure(aNow);
}

/* The condition on the version makes an old write that executes late fail. */
void
RelayControlFlow::WriteOwnRow(Instant aNow, RelayActions& aActions)
{
  const bool isAwaited =
    m_isRowWritten && aNow < m_rowWritten + kRowVisibilityTimeout;
  if (m_nodes.IsScanning() || m_isWritingRow || IsOwnRowCurrent() ||
      isAwaited || aNow < m_rowPace.NotBefore()) {
    return;
  }
  const HostName& host = m_shared.m_settings.m_host;
  const RowKey key{ std::string(kNodeTable), host };
  m_ownVersion = std::max(m_ownVersion, m_shared.m_directory.VersionOf(host));
  TransactRequest request;
  request.m_conditions = { { key, m_ownVersion } };
  request.m_writes = { { key, EncodeNodeRow(m_ownRow) } };
  m_isWritingRow = true;
  m_isRowWritten = true;
  m_rowWritten = aNow;
  Call(Client::OwnRow, std::move(request), aActions);
}

void
RelayControlFlow::RemoveUnreachableRow(Instant aNow, RelayActions& aActions)
{
  if (!CanRemoveRows()) {
    return;
  }
  auto& unreachable = m_shared.m_unreachableHosts;
  const auto expired = std::find_if(
    unreachable.begin(), unreachable.end(), [&](const auto& aCandidate) {
      return RemovalTime(aCandidate.first, aCandidate.second.m_since) <= aNow;
    });
  if (expired == unreachable.end()) {
    return;
  }
  const RowKey key{ std::string(kNodeTable), expired->first };
  const RowVersion version = m_shared.m_directory.VersionOf(expired->first);
  const NodeRow* row = m_shared.m_directory.Find(expired->first);
  unreachable.erase(expired);
  // The next process of the host has to learn the departure from its row.
  if (version == 0 || (row != nullptr && row->m_departure)) {
    return;
  }
  aActions.emplace_back(LogDecision{
    "remove-row",
    std::nullopt,
    fmt::format("\"host\":\"{}\",\"version\":{}", key.m_key, version) });
  m_isRemovingRow = true;
  Call(Client::UnreachableRow,
       TransactRequest{ { { key, version } }, { { key, std::nullopt } } },
       aActions);
}

void
RelayControlFlow::OnStoreEra(StoreEra aEra,
                             Instant aNow,
                             RelayActions& aActions)
{
  aActions.emplace_back(LogDecision{
    "store-era",
    std::nullopt,
    fmt::format("\"era\":{},\"before\":{},\"generation\":{},\"nodes\":{},"
                "\"nodes_version\":{},\"routes_version\":{},\"own_version\":{}",
                aEra,
                m_era.value_or(0),
                m_shared.m_routes.ActiveGeneration(),
                m_shared.m_directory.Size(),
                m_nodes.Version(),
                m_routes.Version(),
                m_shared.m_directory.VersionOf(m_shared.m_settings.m_host)) });
  if (std::exchange(m_era, aEra)) {
    OnStoreRestored(aNow);
  }
}

/* Rows may have changed, and versions known so far may belong to other rows. So
   answers to pending calls are ignored, and no condition is sent until the
   nodes have been read again. */
void
RelayControlFlow::OnStoreRestored(Instant aNow)
{
  m_pendingCalls.fill(0);
  m_nodes.Restart(aNow);
  m_routes.Restart(aNow);
  m_isWritingRow = false;
  m_isRowWritten = false;
  m_ownVersion = 0;
  m_isRemovingRow = false;
  m_keepLostRowsUntil = aNow + kLostRowGrace;
}

/* A platform that answers again has forgotten the watches that were sent to it
   while it did not answer. */
void
RelayControlFlow::RepeatUnansweredCalls(const StoreAnswer& aAnswer,
                                        Instant aNow)
{
  if (std::holds_alternative<StoreFailed>(aAnswer)) {
    m_lastStoreFailure = aNow;
    return;
  }
  const auto repeat = [this](TableFollower& aFollower, Client aClient) {
    std::uint64_t& pending =
      m_pendingCalls.at(static_cast<std::size_t>(aClient));
    if (pending != 0 && aFollower.RepeatCallFrom(m_lastStoreFailure)) {
      pending = 0;
    }
  };
  repeat(m_nodes, Client::Nodes);
  repeat(m_routes, Client::Routes);
}

void
RelayControlFlow::FetchRoutesFrom(const Endpoint& aPeer,
                                  Instant aNow,
                                  RelayActions& aActions)
{
  m_isFetchingPeerRoutes = true;
  m_nextPeerFetch = aNow + kMinPeerFetchInterval;
  aActions.emplace_back(FetchPeerRoutes{
    aPeer, m_shared.m_routes.ActiveGeneration(), Suspects(aNow) });
}

/* Asks until a node has answered, none is left to ask, or enough were asked. */
void
RelayControlFlow::AskFirstPeerForRoutes(Instant aNow, RelayActions& aActions)
{
  if (!m_hasAskedPeer && !m_isFetchingPeerRoutes && m_nodes.IsLoaded()) {
    const std::vector<Endpoint> peers = FirstPeers();
    m_hasAskedPeer = m_peerAttempts >= std::min(kMaxPeerAttempts, peers.size());
    if (!m_hasAskedPeer) {
      FetchRoutesFrom(peers.at(m_peerAttempts++), aNow, aActions);
    }
  }
  if (m_hasAskedPeer && m_heldRoutes) {
    aActions.emplace_back(
      ReadRoutes{ *std::exchange(m_heldRoutes, std::nullopt) });
  }
}

void
RelayControlFlow::AskRandomPeerForRoutes(Instant aNow, RelayActions& aActions)
{
  if (aNow < m_nextRandomFetch || !IsLoaded()) {
    return;
  }
  m_shared.m_suspects.Advance(aNow);
  m_nextRandomFetch =
    aNow + Scale(kRandomFetchInterval, 0.5 + m_random.NextDouble());
  const std::vector<Endpoint> peers = ReadyPeers();
  if (!peers.empty() && !m_isFetchingPeerRoutes) {
    FetchRoutesFrom(peers.at(m_random.NextBelow(peers.size())), aNow, aActions);
  }
}

/* Returns the nodes that a started node asks, in this order: first those of its
   own service, which know the requests that crash its servers. */
std::vector<Endpoint>
RelayControlFlow::FirstPeers() const
{
  const RelaySettings& settings = m_shared.m_settings;
  RowsByService others = m_shared.m_directory.ReadyByService();
  RowsByService own;
  own.insert(others.extract(settings.m_service));
  std::vector<Endpoint> peers;
  for (const RowsByService* group : { &own, &others }) {
    std::vector<Endpoint> part = PeersOf(*group, settings.m_host);
    if (!part.empty()) {
      const std::size_t first =
        Hash(settings.m_host, settings.m_seed) % part.size();
      std::rotate(part.begin(),
                  part.begin() + static_cast<std::ptrdiff_t>(first),
                  part.end());
    }
    peers.insert(peers.end(), part.begin(), part.end());
  }
  return peers;
}

/* Returns the nodes with a ready backend server, without this one. */
std::vector<Endpoint>
RelayControlFlow::ReadyPeers() const
{
  return PeersOf(m_shared.m_directory.ReadyByService(),
                 m_shared.m_settings.m_host);
}

void
RelayControlFlow::DropLostRows(Instant aNow, RelayActions& aActions)
{
  if (aNow < m_keepLostRowsUntil || !m_shared.m_directory.HasLostRows() ||
      m_nodes.IsScanning()) {
    return;
  }
  aActions.emplace_back(
    LogDecision{ "drop-lost-rows",
                 std::nullopt,
                 fmt::format("\"nodes\":{}", m_shared.m_directory.Size()) });
  m_pendingCalls.at(static_cast<std::size_t>(Client::Nodes)) = 0;
  m_nodes.Restart(aNow);
}

void
RelayControlFlow::LogPlatformReachability(RelayActions& aActions)
{
  if (IsPlatformReachable() != m_wasPlatformReachable) {
    m_wasPlatformReachable = IsPlatformReachable();
    aActions.emplace_back(
      LogDecision{ m_wasPlatformReachable ? "store-regained" : "store-lost",
                   std::nullopt,
                   fmt::format("\"generation\":{},\"nodes\":{}",
                               m_shared.m_routes.ActiveGeneration(),
                               m_shared.m_directory.Size()) });
  }
}

Instant
RelayControlFlow::RemovalTime(const HostName& aHost,
                              Instant aUnreachableSince) const
{
  const std::uint64_t share =
    Hash(aHost, m_shared.m_settings.m_seed) %
    static_cast<std::uint64_t>(kRowRemovalSpread.count());
  return aUnreachableSince + kRowRemovalDelay +
         Duration(static_cast<Duration::rep>(share));
}

bool
RelayControlFlow::CanRemoveRows() const
{
  return m_nodes.IsConnected() && !m_nodes.IsScanning() && !m_isRemovingRow;
}

bool
RelayControlFlow::IsOwnRowCurrent() const
{
  const NodeRow* row = m_shared.m_directory.Find(m_ownRow.m_host);
  // A missing row means the same as a row without a backend server.
  return row != nullptr
           ? *row == m_ownRow && m_shared.m_directory.IsStored(m_ownRow.m_host)
           : m_ownRow.m_state == ServerState::Absent;
}

/* The platform may have stored the row before the cached table shows it. Until
   the table has been read again, the platform may have lost the row. */
bool
RelayControlFlow::IsOwnRowStored() const
{
  return !m_nodes.IsScanning() &&
         (IsOwnRowCurrent() || (m_isRowWritten && !m_isWritingRow));
}

void
RelayControlFlow::AnswerLeaves(Instant aNow, RelayActions& aActions)
{
  if (m_pendingLeaves.empty()) {
    return;
  }
  const bool isStored = IsOwnRowStored();
  std::erase_if(m_pendingLeaves, [&](const PendingLeave& aLeave) {
    const Duration held = aNow - aLeave.m_arrived;
    if (!isStored && held < kLeaveAnswerTimeout) {
      return false;
    }
    aActions.emplace_back(AnswerServer{ aLeave.m_call, isStored });
    aActions.emplace_back(LogDecision{
      "leave-answered",
      std::nullopt,
      fmt::format("\"acknowledged\":{},\"held_ms\":{},\"state\":\"{}\","
                  "\"revision\":{}",
                  isStored,
                  ToMilliseconds(held),
                  ToText(m_ownRow.m_state),
                  m_ownRow.m_revision) });
    return true;
  });
}

}
