#include "cr_relay/flow/cr_RelayControl.h"

#include <algorithm>

#include <fmt/format.h>

namespace cr {

namespace {

constexpr std::uint64_t kClientCount = 4;
/* Least time between two questions to other nodes for their routes. */
constexpr Duration kPeerAskPause = Milliseconds(100);
/* After this time a row that was written but is not seen is written again. */
constexpr Duration kRowSeenLimit = Seconds(3);
/* A host that nobody finds for this long has lost its machine for good; one
   that restarts is back sooner, and writes its row anew in any case. */
constexpr Duration kAbsenceLimit = Seconds(10);
/* Nodes remove a row spread over this time; the first one suffices. */
constexpr Duration kAbsenceSpread = Seconds(10);

RouteTarget
ToTarget(const NodeRow& aRow)
{
  return { aRow.m_host,
           aRow.m_incarnation,
           aRow.m_region,
           aRow.m_dataCentre,
           aRow.m_peer };
}

}

RelayControl::RelayControl(RelayShared& aShared)
  : m_shared(aShared)
  , m_nodes(std::string(kNodeTable), Hash(aShared.m_settings.m_seed, 11))
  , m_routes(aShared.m_settings.m_routesRow.m_table,
             Hash(aShared.m_settings.m_seed, 12))
  , m_rowPace(Hash(aShared.m_settings.m_seed, 13))
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
RelayControl::Handle(const RelayStoreAnswered& aEvent,
                     Instant aNow,
                     RelayActions& aActions)
{
  switch (static_cast<Client>(aEvent.m_id % kClientCount)) {
    case Client::Nodes:
      TakeNodes(m_nodes.Take(aEvent.m_answer, aNow), aNow, aActions);
      break;
    case Client::Routes:
      TakeRoutes(m_routes.Take(aEvent.m_answer, aNow), aActions);
      break;
    case Client::OwnRow:
      TakeOwnRow(aEvent.m_answer, aNow);
      break;
    case Client::DeadRow:
      m_isRemovingRow = false;
      break;
  }
  NoteTouch(aActions);
}

void
RelayControl::Handle(const PeerRoutesEnded& /*aEvent*/,
                     Instant /*aNow*/,
                     RelayActions& /*aActions*/)
{
  m_isAskingPeer = false;
}

void
RelayControl::Handle(const RoutesOffered& aEvent,
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
RelayControl::NoteGeneration(Generation aGeneration,
                             const Endpoint& aPeer,
                             Instant aNow,
                             RelayActions& aActions)
{
  if (aGeneration <= m_shared.m_routes.ActiveGeneration() || m_isAskingPeer ||
      aNow < m_nextPeerAsk) {
    return;
  }
  m_isAskingPeer = true;
  m_nextPeerAsk = aNow + kPeerAskPause;
  aActions.emplace_back(AskPeerRoutes{ aPeer });
}

void
RelayControl::SetServer(const AnnouncedServer& aServer)
{
  const ServerState state =
    m_shared.m_isLeaving && aServer.m_state == ServerState::Ready
      ? ServerState::Leaving
      : aServer.m_state;
  const std::string& service = aServer.m_service.empty()
                                 ? m_shared.m_settings.m_service
                                 : aServer.m_service;
  if (m_ownRow.m_state == state && m_ownRow.m_service == service) {
    return;
  }
  m_ownRow.m_state = state;
  m_ownRow.m_service = service;
  ++m_ownRow.m_revision;
  m_isRowWritten = false;
}

void
RelayControl::Advance(Instant aNow, RelayActions& aActions)
{
  if (auto call = m_routes.NextCall(aNow)) {
    Call(Client::Routes, std::move(*call), aActions);
  }
  if (auto call = m_nodes.NextCall(aNow)) {
    Call(Client::Nodes, std::move(*call), aActions);
  }
  WriteOwnRow(aNow, aActions);
  RemoveDeadRow(aNow, aActions);
}

std::optional<Instant>
RelayControl::NextDue() const
{
  Instant due = Instant::max();
  for (const auto& follower : { m_nodes.NextDue(), m_routes.NextDue() }) {
    due = std::min(due, follower.value_or(Instant::max()));
  }
  if (m_nodes.IsLoaded() && !m_isWritingRow && !IsOwnRowTrue()) {
    due = std::min(due,
                   m_isRowWritten ? m_rowWritten + kRowSeenLimit
                                  : m_rowPace.NotBefore());
  }
  if (m_nodes.IsInTouch() && !m_isRemovingRow) {
    for (const auto& [host, unreached] : m_shared.m_unreached) {
      due = std::min(due, RemovalOf(host, unreached.m_since));
    }
  }
  return due;
}

bool
RelayControl::IsLoaded() const
{
  return m_nodes.IsLoaded() && m_shared.m_routes.ActiveGeneration() > 0;
}

bool
RelayControl::IsInTouch() const
{
  return m_nodes.IsInTouch() && m_routes.IsInTouch();
}

//==============================================================================
void
RelayControl::Call(Client aClient,
                   StoreRequest aRequest,
                   RelayActions& aActions)
{
  const std::uint64_t id =
    ++m_calls * kClientCount + static_cast<std::uint64_t>(aClient);
  aActions.emplace_back(RelayCallStore{ id, std::move(aRequest) });
}

void
RelayControl::TakeNodes(const TableNews& aNews,
                        Instant aNow,
                        RelayActions& aActions)
{
  if (aNews.m_changes.empty() && !aNews.m_isWhole) {
    return;
  }
  for (const UnreadableRow& row : m_shared.m_directory.Apply(aNews)) {
    aActions.emplace_back(LogDecision{
      "unreadable-row",
      std::nullopt,
      fmt::format("\"key\":\"{}\",\"why\":\"{}\"", row.m_key, row.m_text) });
  }
  for (const RowChange& change : aNews.m_changes) {
    m_shared.m_unreached.erase(change.m_row.m_key);
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
      settings.m_isGoverned ? PolicySwitches() : NaivePolicy());
  }
  for (auto& [service, router] : m_shared.m_routers) {
    router.Update(targets[service], aNow);
  }
  if (IsOwnRowTrue()) {
    m_isRowWritten = false;
  }
  aActions.emplace_back(
    LogDecision{ "nodes",
                 std::nullopt,
                 fmt::format("\"changes\":{},\"whole\":{},\"nodes\":{}",
                             aNews.m_changes.size(),
                             aNews.m_isWhole,
                             m_shared.m_directory.Size()) });
}

void
RelayControl::TakeRoutes(const TableNews& aNews, RelayActions& aActions)
{
  for (const RowChange& change : aNews.m_changes) {
    if (change.m_row.m_key == m_shared.m_settings.m_routesRow.m_key &&
        !change.m_isRemoved) {
      aActions.emplace_back(ReadRoutes{ change.m_row.m_value });
    }
  }
}

void
RelayControl::TakeOwnRow(const StoreAnswer& aAnswer, Instant aNow)
{
  m_isWritingRow = false;
  if (std::holds_alternative<Committed>(aAnswer)) {
    m_rowPace.NoteSuccess();
    // A change that came meanwhile has cleared the mark and is written next.
    m_rowWritten = aNow;
    return;
  }
  m_isRowWritten = false;
  if (const auto* failed = std::get_if<ConditionFailed>(&aAnswer)) {
    m_ownVersion = failed->m_found.empty() ? 0 : failed->m_found[0].m_version;
  }
  m_rowPace.NoteFailure(aNow);
}

/* The version makes a copy of an old call, carried out late, have no effect. */
void
RelayControl::WriteOwnRow(Instant aNow, RelayActions& aActions)
{
  const bool isAwaited = m_isRowWritten && aNow < m_rowWritten + kRowSeenLimit;
  if (!m_nodes.IsLoaded() || m_isWritingRow || IsOwnRowTrue() || isAwaited ||
      aNow < m_rowPace.NotBefore()) {
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
RelayControl::RemoveDeadRow(Instant aNow, RelayActions& aActions)
{
  if (m_isRemovingRow || !m_nodes.IsInTouch()) {
    return;
  }
  auto& unreached = m_shared.m_unreached;
  const auto dead = std::find_if(
    unreached.begin(), unreached.end(), [&](const auto& aUnreached) {
      return RemovalOf(aUnreached.first, aUnreached.second.m_since) <= aNow;
    });
  if (dead == unreached.end()) {
    return;
  }
  const RowKey key{ std::string(kNodeTable), dead->first };
  const RowVersion version = m_shared.m_directory.VersionOf(dead->first);
  unreached.erase(dead);
  if (version == 0) {
    return;
  }
  aActions.emplace_back(LogDecision{
    "remove-row",
    std::nullopt,
    fmt::format("\"host\":\"{}\",\"version\":{}", key.m_key, version) });
  m_isRemovingRow = true;
  Call(Client::DeadRow,
       TransactRequest{ { { key, version } }, { { key, std::nullopt } } },
       aActions);
}

void
RelayControl::NoteTouch(RelayActions& aActions)
{
  if (IsInTouch() != m_wasInTouch) {
    m_wasInTouch = IsInTouch();
    aActions.emplace_back(
      LogDecision{ m_wasInTouch ? "store-regained" : "store-lost",
                   std::nullopt,
                   fmt::format("\"generation\":{},\"nodes\":{}",
                               m_shared.m_routes.ActiveGeneration(),
                               m_shared.m_directory.Size()) });
  }
}

Instant
RelayControl::RemovalOf(const HostName& aHost, Instant aUnreachedSince) const
{
  const std::uint64_t share =
    Hash(aHost, m_shared.m_settings.m_seed) %
    static_cast<std::uint64_t>(kAbsenceSpread.count());
  return aUnreachedSince + kAbsenceLimit +
         Duration(static_cast<Duration::rep>(share));
}

bool
RelayControl::IsOwnRowTrue() const
{
  const NodeRow* row = m_shared.m_directory.Find(m_ownRow.m_host);
  // A host without a row offers nothing, as a host without a server does.
  return row != nullptr ? *row == m_ownRow
                        : m_ownRow.m_state == ServerState::Absent;
}

}
