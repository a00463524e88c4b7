#include "cr_node/flow/cr_DirectoryFlow.h"

namespace cr {

namespace {

constexpr Duration kInterval = Seconds(1);
constexpr WallMilliseconds kLeaseMs = 5000;
constexpr std::uint32_t kPageLimit = 200;

}

DirectoryFlow::DirectoryFlow(NodeShared& aShared)
  : m_shared(aShared)
{
  const NodeIdentity& identity = aShared.m_identity;
  m_own.m_host = identity.m_host;
  m_own.m_incarnation = identity.m_incarnation;
  m_own.m_region = identity.m_region;
  m_own.m_dataCentre = identity.m_dataCentre;
  m_own.m_peer = identity.m_peer;
}

void
DirectoryFlow::SetServer(const std::string& aService, ServerState aState)
{
  if (m_own.m_service == aService && m_own.m_state == aState) {
    return;
  }
  m_own.m_service = aService;
  m_own.m_state = aState;
  ++m_own.m_revision;
  m_nextDue = Instant();
}

void
DirectoryFlow::Advance(Moment aMoment, Actions& aActions)
{
  if (aMoment.m_now < m_nextDue) {
    return;
  }
  m_nextDue = aMoment.m_now + kInterval;
  WriteOwnRow(aMoment, aActions);
  if (!m_isReading) {
    m_isReading = true;
    m_reading.clear();
    ReadPage({}, aActions);
  }
}

void
DirectoryFlow::Handle(const StoreAnswered& aEvent,
                      Moment aMoment,
                      Actions& aActions)
{
  if (aEvent.m_call != m_pageCall || !m_isReading) {
    return;
  }
  if (const auto* page = std::get_if<RowPage>(&aEvent.m_answer)) {
    TakePage(*page, aMoment, aActions);
  } else {
    m_isReading = false;
  }
}

void
DirectoryFlow::Handle(const RumourArrived& aEvent,
                      Moment /*aMoment*/,
                      Actions& aActions)
{
  m_rows[aEvent.m_rumour.m_sender.m_host] = aEvent.m_rumour.m_sender;
  Rumour answer;
  answer.m_sender = m_own;
  answer.m_generation = m_shared.m_configuration.Current()->m_generation;
  aActions.emplace_back(AnswerRumour{ aEvent.m_call, std::move(answer) });
}

void
DirectoryFlow::WriteOwnRow(Moment aMoment, Actions& aActions)
{
  m_own.m_lapses = aMoment.m_wall + kLeaseMs;
  TransactRequest transaction;
  transaction.m_writes = { { { std::string(kNodeTable), m_own.m_host },
                             EncodeNodeRow(m_own) } };
  aActions.emplace_back(CallStore{ NextCall(), std::move(transaction) });
}

void
DirectoryFlow::ReadPage(const std::string& aAfter, Actions& aActions)
{
  m_pageCall = NextCall();
  aActions.emplace_back(CallStore{
    m_pageCall,
    ScanRequest{ std::string(kNodeTable), aAfter, kPageLimit, {} } });
}

void
DirectoryFlow::TakePage(const RowPage& aPage, Moment aMoment, Actions& aActions)
{
  for (const Row& row : aPage.m_rows) {
    const auto node = DecodeNodeRow(row.m_value);
    if (node && node->m_lapses > aMoment.m_wall) {
      m_reading[node->m_host] = *node;
    }
  }
  if (aPage.m_more && !aPage.m_rows.empty()) {
    ReadPage(aPage.m_rows.back().m_key, aActions);
    return;
  }
  m_isReading = false;
  m_rows = std::move(m_reading);
  m_reading.clear();
  UpdateRouters(aMoment);
}

void
DirectoryFlow::UpdateRouters(Moment aMoment)
{
  std::map<std::string, std::vector<RouteTarget>> targets;
  for (const auto& [host, row] : m_rows) {
    if (row.m_state == ServerState::Ready) {
      targets[row.m_service].push_back({ row.m_host,
                                         row.m_incarnation,
                                         row.m_region,
                                         row.m_dataCentre,
                                         row.m_peer });
    }
  }
  m_shared.m_routers.Update(targets, aMoment.m_now);
}

StoreCallId
DirectoryFlow::NextCall()
{
  return { StoreClient::Directory, ++m_sequence };
}

}
