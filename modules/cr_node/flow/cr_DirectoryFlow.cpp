#include "cr_node/flow/cr_DirectoryFlow.h"

#include <algorithm>
#include <map>
#include <utility>

namespace cr {

namespace {

constexpr Duration kRenewInterval = Seconds(15);
constexpr Duration kRenewRetry = Seconds(3);
constexpr Duration kWriteGap = Milliseconds(500);
constexpr Duration kScanInterval = Seconds(15);
constexpr Duration kQuickScanGap = Seconds(2);
constexpr Duration kRumourInterval = Seconds(2);
constexpr Duration kPushDelay = Milliseconds(150);
constexpr Duration kRoutesGap = Milliseconds(200);
constexpr Duration kAskAllGap = Seconds(1);
constexpr Duration kRepairInterval = Seconds(5);
constexpr Duration kFullCopyInterval = Seconds(30);
constexpr Duration kBucketsInterval = Seconds(1);
constexpr Duration kQuietBeforeRepair = Seconds(2);
constexpr std::uint32_t kPageLimit = 100;
constexpr unsigned kQuickScanCount = 3;
constexpr std::size_t kPushPeers = 3;
constexpr unsigned kGenerationTellings = 6;
constexpr std::size_t kNewsLimit = 20;
constexpr Duration kUrgentInterval = Milliseconds(2);
constexpr std::size_t kUrgentPeers = 32;
constexpr std::size_t kSuspectLimit = 128;
constexpr std::size_t kRepairBuckets = 4;
constexpr std::size_t kBucketsBeforeFullCopy = 16;
constexpr std::size_t kCopiesLimit = 64;
constexpr int kPeerDraws = 8;
constexpr double kJitterLeast = 0.75;
constexpr double kJitterSpan = 0.5;

NodeRow
OwnRow(const NodeIdentity& aIdentity)
{
  NodeRow row;
  row.m_host = aIdentity.m_host;
  row.m_incarnation = aIdentity.m_incarnation;
  row.m_region = aIdentity.m_region;
  row.m_dataCentre = aIdentity.m_dataCentre;
  row.m_peer = aIdentity.m_peer;
  return row;
}

/* The same for the same suspects, in whichever order. */
std::uint64_t
DigestOf(const std::vector<Suspect>& aSuspects)
{
  std::uint64_t digest = 0;
  for (const Suspect& suspect : aSuspects) {
    digest ^= Hash(Hash(suspect.m_request.m_high, suspect.m_request.m_low),
                   Hash(suspect.m_crashes, suspect.m_cleared));
  }
  return digest;
}

}

DirectoryFlow::DirectoryFlow(NodeShared& aShared)
  : m_shared(aShared)
  , m_random(Hash("directory", aShared.m_identity.m_seed))
  , m_view(OwnRow(aShared.m_identity))
  , m_quickScans(kQuickScanCount)
{
}

//==============================================================================
void
DirectoryFlow::SetServer(const std::string& aService,
                         ServerState aState,
                         Moment aMoment)
{
  if (m_view.SetServer(aService, aState, aMoment.m_now)) {
    m_renewDue =
      std::min(m_renewDue, std::max(aMoment.m_now, m_lastWrite + kWriteGap));
    m_pushDue = aMoment.m_now;
    ScheduleRoutes(aMoment);
  }
}

void
DirectoryFlow::TellChanges(Moment aMoment)
{
  const Generation generation =
    m_shared.m_configuration.Current()->m_generation;
  if (generation > m_toldGeneration) {
    m_toldGeneration = generation;
    m_generationTellings = kGenerationTellings;
    m_pushDue = aMoment.m_now;
  }
  const std::uint64_t suspects =
    m_shared.m_suspects.With([&](const SuspectTable& aTable) {
      return DigestOf(aTable.Recent(aMoment.m_now, kSuspectLimit));
    });
  if (suspects != m_toldSuspects) {
    m_toldSuspects = suspects;
    m_suspectTellings = suspects == 0 ? 0 : m_view.Tellings();
    SchedulePush(aMoment);
  }
}

void
DirectoryFlow::Advance(Moment aMoment, Actions& aActions)
{
  if (aMoment.m_now >= m_routesDue) {
    UpdateRouters(aMoment);
  }
  if (aMoment.m_now >= m_renewDue) {
    WriteOwnRow(aMoment, aActions);
  }
  if (aMoment.m_now >= m_scanDue && !m_isReading) {
    ReadPage(aActions);
  }
  if (aMoment.m_now >= m_urgentDue) {
    SendUrgent(aMoment, aActions);
  }
  if (aMoment.m_now >= m_rumourDue) {
    m_rumourDue = aMoment.m_now + Jitter(kRumourInterval);
    TellChanges(aMoment);
    SendNews(1, aMoment, aActions);
  }
  if (aMoment.m_now >= m_pushDue) {
    m_pushDue = Instant::max();
    SendNews(kPushPeers, aMoment, aActions);
    SchedulePush(aMoment);
  }
}

void
DirectoryFlow::Handle(const StoreAnswered& aEvent,
                      Moment aMoment,
                      Actions& aActions)
{
  const bool failed = std::holds_alternative<StoreFailed>(aEvent.m_answer);
  if (failed) {
    m_view.ReportOutage(aMoment.m_now);
  }
  if (aEvent.m_call == m_writeCall && failed) {
    m_renewDue = std::min(m_renewDue, aMoment.m_now + Jitter(kRenewRetry));
  }
  if (aEvent.m_call != m_pageCall || !m_isReading) {
    return;
  }
  m_isReading = false;
  if (const auto* page = std::get_if<RowPage>(&aEvent.m_answer)) {
    TakePage(*page, aMoment, aActions);
  } else {
    m_scanDue = aMoment.m_now + Jitter(kRenewRetry);
  }
}

void
DirectoryFlow::Handle(const RumourArrived& aEvent,
                      Moment aMoment,
                      Actions& aActions)
{
  const Rumour& asked = aEvent.m_rumour;
  TakeRumour(
    asked, asked.m_wanted.empty() ? RowSource::News : RowSource::Copy, aMoment);
  Rumour answer = MakeRumour({}, aMoment);
  AddAnswerRows(asked, answer);
  const bool quiet = aMoment.m_now - m_view.LastChange() >= kQuietBeforeRepair;
  if (answer.m_rows.empty() && asked.m_digest != m_view.Digest() && quiet &&
      aMoment.m_now >= m_bucketsDue) {
    m_bucketsDue = aMoment.m_now + kBucketsInterval;
    answer.m_buckets.assign(m_view.Digests().begin(), m_view.Digests().end());
  }
  aActions.emplace_back(AnswerRumour{ aEvent.m_call, std::move(answer) });
  if (!m_hasFullCopy) {
    AskForAll(asked.m_sender.m_peer, aMoment, aActions);
  }
}

void
DirectoryFlow::Handle(const RumourAnswered& aEvent,
                      Moment aMoment,
                      Actions& aActions)
{
  const bool isCopy = m_copiesAsked.erase(aEvent.m_id) > 0;
  if (!aEvent.m_rumour) {
    return;
  }
  const Rumour& rumour = *aEvent.m_rumour;
  TakeRumour(rumour, isCopy ? RowSource::Copy : RowSource::News, aMoment);
  m_hasFullCopy = m_hasFullCopy || (isCopy && !rumour.m_rows.empty());
  if (!m_hasFullCopy) {
    AskForAll(rumour.m_sender.m_peer, aMoment, aActions);
  }
  Repair(rumour, aMoment, aActions);
}

Instant
DirectoryFlow::NextDue() const
{
  const Instant due =
    std::min({ m_renewDue, m_rumourDue, m_pushDue, m_routesDue, m_urgentDue });
  return m_isReading ? due : std::min(due, m_scanDue);
}

//==============================================================================
void
DirectoryFlow::WriteOwnRow(Moment aMoment, Actions& aActions)
{
  m_renewDue = aMoment.m_now + Jitter(kRenewInterval);
  m_lastWrite = aMoment.m_now;
  m_writeCall = NextCall();
  const NodeRow& own = m_view.Own();
  TransactRequest transaction;
  transaction.m_writes = { { { std::string(kNodeTable), own.m_host },
                             EncodeNodeRow(own) } };
  aActions.emplace_back(CallStore{ m_writeCall, std::move(transaction) });
}

void
DirectoryFlow::ReadPage(Actions& aActions)
{
  m_isReading = true;
  m_pageCall = NextCall();
  aActions.emplace_back(CallStore{
    m_pageCall,
    ScanRequest{ std::string(kNodeTable), m_scanAfter, kPageLimit, {} } });
}

void
DirectoryFlow::TakePage(const RowPage& aPage, Moment aMoment, Actions& aActions)
{
  ObservedPage observed;
  observed.m_after = m_scanAfter;
  for (const Row& row : aPage.m_rows) {
    const auto node = DecodeNodeRow(row.m_value);
    if (node && node->m_host == row.m_key) {
      observed.m_rows.push_back({ *node, row.m_version });
    }
  }
  if (aPage.m_more && !aPage.m_rows.empty()) {
    observed.m_last = aPage.m_rows.back().m_key;
  }
  for (const RowCondition& expired : m_view.Observe(observed, aMoment.m_now)) {
    aActions.emplace_back(CallStore{
      NextCall(),
      TransactRequest{ { expired }, { { expired.m_row, std::nullopt } } } });
  }
  if (m_view.HasRival() && !std::exchange(m_rivalLogged, true)) {
    aActions.emplace_back(
      WriteLog{ "membership", "a later process runs under this host's name" });
  }
  m_scanAfter = observed.m_last;
  if (m_scanAfter.empty()) {
    EndScan(aMoment);
  } else if (m_quickScans > 0) {
    ReadPage(aActions);
  } else {
    m_scanDue = aMoment.m_now + Jitter(kScanInterval);
  }
  ScheduleRoutes(aMoment);
  SchedulePush(aMoment);
}

void
DirectoryFlow::EndScan(Moment aMoment)
{
  m_hasFullCopy = true;
  m_quickScans -= m_quickScans > 0 ? 1 : 0;
  m_scanDue =
    aMoment.m_now + Jitter(m_quickScans > 0 ? kQuickScanGap : kScanInterval);
}

//==============================================================================
/* A starting node does not tell on what it learns: everything is news to it. */
void
DirectoryFlow::TakeRumour(const Rumour& aRumour,
                          RowSource aSource,
                          Moment aMoment)
{
  const RowSource source = m_quickScans > 0 ? RowSource::Copy : aSource;
  for (const NodeRow& row : aRumour.m_rows) {
    m_view.Learn(row, source, aMoment.m_now);
  }
  m_view.Hear(aRumour.m_sender, aMoment.m_now);
  if (aRumour.m_generation >= m_toldGeneration && m_generationTellings > 0) {
    --m_generationTellings;
  }
  TellChanges(aMoment);
  ScheduleRoutes(aMoment);
  SchedulePush(aMoment);
}

void
DirectoryFlow::AddAnswerRows(const Rumour& aAsked, Rumour& aAnswer)
{
  if (aAsked.m_wantsAll) {
    aAnswer.m_rows = m_view.All();
    return;
  }
  if (aAsked.m_wanted.empty()) {
    aAnswer.m_rows = m_view.TakeNews(kNewsLimit);
    return;
  }
  const std::size_t count = std::min(aAsked.m_wanted.size(), kRepairBuckets);
  for (std::size_t index = 0; index < count; ++index) {
    const auto rows = m_view.RowsOf(aAsked.m_wanted.at(index));
    aAnswer.m_rows.insert(aAnswer.m_rows.end(), rows.begin(), rows.end());
  }
}

void
DirectoryFlow::Repair(const Rumour& aAnswer, Moment aMoment, Actions& aActions)
{
  if (aAnswer.m_buckets.size() != kBucketCount || aMoment.m_now < m_repairDue) {
    return;
  }
  m_repairDue = aMoment.m_now + kRepairInterval;
  std::vector<NodeRow> rows;
  std::vector<std::uint32_t> wanted;
  std::size_t differing = 0;
  const std::size_t first = m_random.Below(kBucketCount);
  for (std::size_t step = 0; step < kBucketCount; ++step) {
    const std::size_t bucket = (first + step) % kBucketCount;
    if (aAnswer.m_buckets.at(bucket) == m_view.Digests().at(bucket)) {
      continue;
    }
    ++differing;
    if (wanted.size() < kRepairBuckets) {
      wanted.push_back(static_cast<std::uint32_t>(bucket));
      const auto own = m_view.RowsOf(bucket);
      rows.insert(rows.end(), own.begin(), own.end());
    }
  }
  if (differing > kBucketsBeforeFullCopy && aMoment.m_now >= m_fullCopyDue) {
    m_fullCopyDue = aMoment.m_now + Jitter(kFullCopyInterval);
    AskForAll(aAnswer.m_sender.m_peer, aMoment, aActions);
    return;
  }
  if (wanted.empty()) {
    return;
  }
  Rumour rumour = MakeRumour(std::move(rows), aMoment);
  rumour.m_wanted = std::move(wanted);
  m_copiesAsked.insert(m_rumours + 1);
  Send(aAnswer.m_sender.m_peer, std::move(rumour), aActions);
}

void
DirectoryFlow::TellSuspects(Moment aMoment)
{
  const std::uint64_t suspects =
    m_shared.m_suspects.With([&](const SuspectTable& aTable) {
      return DigestOf(aTable.Recent(aMoment.m_now, kSuspectLimit));
    });
  if (suspects == m_urgentSuspects) {
    return;
  }
  m_urgentSuspects = suspects;
  m_urgentDue = m_urgentSent == Instant::min()
                  ? aMoment.m_now
                  : std::max(aMoment.m_now, m_urgentSent + kUrgentInterval);
}

void
DirectoryFlow::SendUrgent(Moment aMoment, Actions& aActions)
{
  m_urgentDue = Instant::max();
  m_urgentSent = aMoment.m_now;
  const NodeRow& own = m_view.Own();
  std::size_t sent = 0;
  for (const HostName& host : m_view.Hosts()) {
    const NodeRow* row = m_view.Find(host);
    if (row == nullptr || row->m_host == own.m_host ||
        row->m_service != own.m_service) {
      continue;
    }
    Send(row->m_peer, MakeRumour({}, aMoment), aActions);
    if (++sent == kUrgentPeers) {
      return;
    }
  }
}

void
DirectoryFlow::SendNews(std::size_t aPeers, Moment aMoment, Actions& aActions)
{
  for (std::size_t peer = 0; peer < aPeers; ++peer) {
    const NodeRow* target = RandomPeer();
    if (target == nullptr) {
      AskContact(aMoment, aActions);
      return;
    }
    const Endpoint endpoint = target->m_peer;
    Send(endpoint, MakeRumour(m_view.TakeNews(kNewsLimit), aMoment), aActions);
    m_generationTellings -= m_generationTellings > 0 ? 1 : 0;
    m_suspectTellings -= m_suspectTellings > 0 ? 1 : 0;
  }
}

void
DirectoryFlow::Send(const Endpoint& aPeer, Rumour aRumour, Actions& aActions)
{
  aActions.emplace_back(SendRumour{ ++m_rumours, aPeer, std::move(aRumour) });
}

void
DirectoryFlow::AskForAll(const Endpoint& aPeer,
                         Moment aMoment,
                         Actions& aActions)
{
  if (aMoment.m_now < m_askAllDue) {
    return;
  }
  m_askAllDue = aMoment.m_now + kAskAllGap;
  Rumour rumour = MakeRumour({}, aMoment);
  rumour.m_wantsAll = true;
  if (m_copiesAsked.size() >= kCopiesLimit) {
    m_copiesAsked.clear();
  }
  m_copiesAsked.insert(m_rumours + 1);
  Send(aPeer, std::move(rumour), aActions);
}

/* The table is down and no node is known: one of the settings' contacts may
   help. */
void
DirectoryFlow::AskContact(Moment aMoment, Actions& aActions)
{
  const std::vector<Endpoint>& contacts = m_shared.m_identity.m_contacts;
  if (!contacts.empty()) {
    AskForAll(contacts.at(m_random.Below(contacts.size())), aMoment, aActions);
  }
}

Rumour
DirectoryFlow::MakeRumour(std::vector<NodeRow> aRows, Moment aMoment) const
{
  Rumour rumour;
  rumour.m_sender = m_view.Own();
  rumour.m_rows = std::move(aRows);
  std::erase_if(rumour.m_rows, [&](const NodeRow& aRow) {
    return aRow.m_host == rumour.m_sender.m_host;
  });
  rumour.m_generation = m_shared.m_configuration.Current()->m_generation;
  rumour.m_suspects = m_shared.m_suspects.With([&](const SuspectTable& aTable) {
    return aTable.Recent(aMoment.m_now, kSuspectLimit);
  });
  rumour.m_digest = m_view.Digest();
  return rumour;
}

const NodeRow*
DirectoryFlow::RandomPeer()
{
  const auto hosts = m_view.Hosts();
  for (int draw = 0; draw < kPeerDraws; ++draw) {
    const HostName& host = hosts[m_random.Below(hosts.size())];
    if (host != m_shared.m_identity.m_host) {
      return m_view.Find(host);
    }
  }
  return nullptr;
}

/* Changes that are not told yet go out after a short delay, so that several
   travel together. */
void
DirectoryFlow::SchedulePush(Moment aMoment)
{
  if (HasChanges() && m_view.Size() > 1 && m_pushDue == Instant::max()) {
    m_pushDue = aMoment.m_now + Jitter(kPushDelay);
  }
}

bool
DirectoryFlow::HasChanges() const
{
  return m_view.HasNews() || m_generationTellings > 0 || m_suspectTellings > 0;
}

/* The first change goes to the routers at once, a burst of them together. */
void
DirectoryFlow::ScheduleRoutes(Moment aMoment)
{
  if (m_view.TakeRoutesChanged() && m_routesDue == Instant::max()) {
    m_routesDue = std::max(aMoment.m_now, m_routesUpdated + kRoutesGap);
  }
}

void
DirectoryFlow::UpdateRouters(Moment aMoment)
{
  m_routesDue = Instant::max();
  m_routesUpdated = aMoment.m_now;
  std::map<std::string, std::vector<RouteTarget>> targets;
  for (const NodeRow& row : m_view.All()) {
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

Duration
DirectoryFlow::Jitter(Duration aMean)
{
  return Scale(aMean, kJitterLeast + kJitterSpan * m_random.Unit());
}

StoreCallId
DirectoryFlow::NextCall()
{
  return { StoreClient::Directory, ++m_sequence };
}

}
