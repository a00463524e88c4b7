#include "cr_node/flow/cr_DirectoryFlow.h"

#include <algorithm>
#include <map>
#include <utility>

namespace cr {

namespace {

constexpr Duration kRenewInterval = Seconds(15);
constexpr Duration kRetryDelay = Seconds(3);
constexpr Duration kMinWriteInterval = Milliseconds(500);
constexpr Duration kScanInterval = Seconds(15);
constexpr Duration kFastScanInterval = Seconds(2);
constexpr Duration kGossipInterval = Seconds(2);
constexpr Duration kPushDelay = Milliseconds(150);
constexpr Duration kMinRoutesInterval = Milliseconds(200);
constexpr Duration kMinFullCopyInterval = Seconds(1);
constexpr Duration kRepairInterval = Seconds(5);
constexpr Duration kRepairFullCopyInterval = Seconds(30);
constexpr Duration kMinBucketsAnswerInterval = Seconds(1);
constexpr Duration kQuietBeforeRepair = Seconds(2);
constexpr std::uint32_t kPageSize = 100;
constexpr unsigned kFastScanCount = 3;
constexpr std::size_t kPushPeers = 3;
constexpr unsigned kGenerationSends = 6;
constexpr std::size_t kMaxChangedRows = 20;
constexpr Duration kUrgentInterval = Milliseconds(2);
constexpr std::size_t kUrgentPeers = 32;
constexpr std::size_t kMaxSuspects = 128;
constexpr std::size_t kRepairBuckets = 4;
constexpr std::size_t kBucketsBeforeFullCopy = 16;
constexpr std::size_t kMaxCopyRequests = 64;
constexpr int kMaxPeerDraws = 8;
constexpr double kMinJitterFactor = 0.75;
constexpr double kJitterRange = 0.5;

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

/* The digest does not depend on the order of the suspects. */
std::uint64_t
DigestOf(const std::vector<Suspect>& aSuspects)
{
  std::uint64_t digest = 0;
  for (const Suspect& suspect : aSuspects) {
    digest ^= Hash(Hash(suspect.m_key.m_high, suspect.m_key.m_low),
                   Hash(suspect.m_crashes, suspect.m_cleared));
  }
  return digest;
}

}

DirectoryFlow::DirectoryFlow(NodeShared& aShared)
  : m_shared(aShared)
  , m_random(Hash("directory", aShared.m_identity.m_seed))
  , m_view(OwnRow(aShared.m_identity))
  , m_fastScansLeft(kFastScanCount)
{
}

//==============================================================================
void
DirectoryFlow::SetServer(const std::string& aService,
                         ServerState aState,
                         Moment aMoment)
{
  if (m_view.SetServer(aService, aState, aMoment.m_now)) {
    m_nextRenewal = std::min(
      m_nextRenewal, std::max(aMoment.m_now, m_lastWrite + kMinWriteInterval));
    m_nextPush = aMoment.m_now;
    ScheduleRoutes(aMoment);
  }
}

void
DirectoryFlow::GossipChanges(Moment aMoment)
{
  const Generation generation =
    m_shared.m_configuration.Current()->m_generation;
  if (generation > m_gossipedGeneration) {
    m_gossipedGeneration = generation;
    m_generationSendsLeft = kGenerationSends;
    m_nextPush = aMoment.m_now;
  }
  const std::uint64_t suspects =
    m_shared.m_suspects.WithLock([&](const SuspectTable& aTable) {
      return DigestOf(aTable.Recent(aMoment.m_now, kMaxSuspects));
    });
  if (suspects != m_gossipedSuspects) {
    m_gossipedSuspects = suspects;
    m_suspectSendsLeft = suspects == 0 ? 0 : m_view.TransmitLimit();
    SchedulePush(aMoment);
  }
}

void
DirectoryFlow::Advance(Moment aMoment, Actions& aActions)
{
  if (aMoment.m_now >= m_nextRoutesUpdate) {
    UpdateRouters(aMoment);
  }
  if (aMoment.m_now >= m_nextRenewal) {
    WriteOwnRow(aMoment, aActions);
  }
  if (aMoment.m_now >= m_nextScan && !m_isReading) {
    ReadPage(aActions);
  }
  if (aMoment.m_now >= m_nextUrgentSend) {
    SendUrgentSuspects(aMoment, aActions);
  }
  if (aMoment.m_now >= m_nextGossip) {
    m_nextGossip = aMoment.m_now + Jitter(kGossipInterval);
    GossipChanges(aMoment);
    SendChanges(1, aMoment, aActions);
  }
  if (aMoment.m_now >= m_nextPush) {
    m_nextPush = Instant::max();
    SendChanges(kPushPeers, aMoment, aActions);
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
    m_view.OnTableOutage(aMoment.m_now);
  }
  if (aEvent.m_call == m_writeCall && failed) {
    m_nextRenewal =
      std::min(m_nextRenewal, aMoment.m_now + Jitter(kRetryDelay));
  }
  if (aEvent.m_call != m_pageCall || !m_isReading) {
    return;
  }
  m_isReading = false;
  if (const auto* page = std::get_if<RowPage>(&aEvent.m_answer)) {
    HandlePage(*page, aMoment, aActions);
  } else {
    m_nextScan = aMoment.m_now + Jitter(kRetryDelay);
  }
}

void
DirectoryFlow::Handle(const GossipReceived& aEvent,
                      Moment aMoment,
                      Actions& aActions)
{
  const GossipMessage& request = aEvent.m_message;
  MergeMessage(request,
               request.m_requestedBuckets.empty() ? RowSource::Change
                                                  : RowSource::Snapshot,
               aMoment);
  GossipMessage answer = MakeMessage({}, aMoment);
  AddAnswerRows(request, answer);
  const bool quiet = aMoment.m_now - m_view.LastChange() >= kQuietBeforeRepair;
  if (answer.m_rows.empty() && request.m_digest != m_view.Digest() && quiet &&
      aMoment.m_now >= m_nextBucketsAnswer) {
    m_nextBucketsAnswer = aMoment.m_now + kMinBucketsAnswerInterval;
    answer.m_bucketDigests.assign(m_view.Digests().begin(),
                                  m_view.Digests().end());
  }
  aActions.emplace_back(AnswerGossip{ aEvent.m_call, std::move(answer) });
  if (!m_hasFullCopy) {
    RequestFullCopy(request.m_sender.m_peer, aMoment, aActions);
  }
}

void
DirectoryFlow::Handle(const GossipAnswered& aEvent,
                      Moment aMoment,
                      Actions& aActions)
{
  const bool isCopy = m_copyRequests.erase(aEvent.m_id) > 0;
  if (!aEvent.m_message) {
    return;
  }
  const GossipMessage& message = *aEvent.m_message;
  MergeMessage(
    message, isCopy ? RowSource::Snapshot : RowSource::Change, aMoment);
  m_hasFullCopy = m_hasFullCopy || (isCopy && !message.m_rows.empty());
  if (!m_hasFullCopy) {
    RequestFullCopy(message.m_sender.m_peer, aMoment, aActions);
  }
  RequestDifferingBuckets(message, aMoment, aActions);
}

Instant
DirectoryFlow::NextWakeup() const
{
  const Instant due = std::min({ m_nextRenewal,
                                 m_nextGossip,
                                 m_nextPush,
                                 m_nextRoutesUpdate,
                                 m_nextUrgentSend });
  return m_isReading ? due : std::min(due, m_nextScan);
}

//==============================================================================
void
DirectoryFlow::WriteOwnRow(Moment aMoment, Actions& aActions)
{
  m_nextRenewal = aMoment.m_now + Jitter(kRenewInterval);
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
    ScanRequest{ std::string(kNodeTable), m_scanAfter, kPageSize, {} } });
}

void
DirectoryFlow::HandlePage(const RowPage& aPage,
                          Moment aMoment,
                          Actions& aActions)
{
  NodeTablePage observed;
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
  for (const RowCondition& expired :
       m_view.ApplyTablePage(observed, aMoment.m_now)) {
    aActions.emplace_back(CallStore{
      NextCall(),
      TransactRequest{ { expired }, { { expired.m_row, std::nullopt } } } });
  }
  if (m_view.HasNameConflict() &&
      !std::exchange(m_isDuplicateHostLogged, true)) {
    aActions.emplace_back(WriteLog{
      "membership",
      "another node with a later incarnation uses this host's name" });
  }
  m_scanAfter = observed.m_last;
  if (m_scanAfter.empty()) {
    EndScan(aMoment);
  } else if (m_fastScansLeft > 0) {
    ReadPage(aActions);
  } else {
    m_nextScan = aMoment.m_now + Jitter(kScanInterval);
  }
  ScheduleRoutes(aMoment);
  SchedulePush(aMoment);
}

void
DirectoryFlow::EndScan(Moment aMoment)
{
  m_hasFullCopy = true;
  m_fastScansLeft -= m_fastScansLeft > 0 ? 1 : 0;
  m_nextScan = aMoment.m_now +
               Jitter(m_fastScansLeft > 0 ? kFastScanInterval : kScanInterval);
}

//==============================================================================
/* A starting node treats all rows as copies and does not forward them, as every
   row is new to it. */
void
DirectoryFlow::MergeMessage(const GossipMessage& aMessage,
                            RowSource aSource,
                            Moment aMoment)
{
  const RowSource source = m_fastScansLeft > 0 ? RowSource::Snapshot : aSource;
  for (const NodeRow& row : aMessage.m_rows) {
    m_view.Update(row, source, aMoment.m_now);
  }
  m_view.UpdateFromSender(aMessage.m_sender, aMoment.m_now);
  if (aMessage.m_generation >= m_gossipedGeneration &&
      m_generationSendsLeft > 0) {
    --m_generationSendsLeft;
  }
  GossipChanges(aMoment);
  ScheduleRoutes(aMoment);
  SchedulePush(aMoment);
}

void
DirectoryFlow::AddAnswerRows(const GossipMessage& aRequest,
                             GossipMessage& aAnswer)
{
  if (aRequest.m_requestsAllRows) {
    aAnswer.m_rows = m_view.All();
    return;
  }
  if (aRequest.m_requestedBuckets.empty()) {
    aAnswer.m_rows = m_view.TakePendingChanges(kMaxChangedRows);
    return;
  }
  const std::size_t count =
    std::min(aRequest.m_requestedBuckets.size(), kRepairBuckets);
  for (std::size_t index = 0; index < count; ++index) {
    const auto rows =
      m_view.RowsInBucket(aRequest.m_requestedBuckets.at(index));
    aAnswer.m_rows.insert(aAnswer.m_rows.end(), rows.begin(), rows.end());
  }
}

void
DirectoryFlow::RequestDifferingBuckets(const GossipMessage& aAnswer,
                                       Moment aMoment,
                                       Actions& aActions)
{
  if (aAnswer.m_bucketDigests.size() != kBucketCount ||
      aMoment.m_now < m_nextRepair) {
    return;
  }
  m_nextRepair = aMoment.m_now + kRepairInterval;
  std::vector<NodeRow> rows;
  std::vector<std::uint32_t> requestedBuckets;
  std::size_t differing = 0;
  const std::size_t first = m_random.NextBelow(kBucketCount);
  for (std::size_t step = 0; step < kBucketCount; ++step) {
    const std::size_t bucket = (first + step) % kBucketCount;
    if (aAnswer.m_bucketDigests.at(bucket) == m_view.Digests().at(bucket)) {
      continue;
    }
    ++differing;
    if (requestedBuckets.size() < kRepairBuckets) {
      requestedBuckets.push_back(static_cast<std::uint32_t>(bucket));
      const auto own = m_view.RowsInBucket(bucket);
      rows.insert(rows.end(), own.begin(), own.end());
    }
  }
  if (differing > kBucketsBeforeFullCopy &&
      aMoment.m_now >= m_nextRepairFullCopy) {
    m_nextRepairFullCopy = aMoment.m_now + Jitter(kRepairFullCopyInterval);
    RequestFullCopy(aAnswer.m_sender.m_peer, aMoment, aActions);
    return;
  }
  if (requestedBuckets.empty()) {
    return;
  }
  GossipMessage message = MakeMessage(std::move(rows), aMoment);
  message.m_requestedBuckets = std::move(requestedBuckets);
  m_copyRequests.insert(m_messageSequence + 1);
  SendTo(aAnswer.m_sender.m_peer, std::move(message), aActions);
}

void
DirectoryFlow::GossipSuspects(Moment aMoment)
{
  const std::uint64_t suspects =
    m_shared.m_suspects.WithLock([&](const SuspectTable& aTable) {
      return DigestOf(aTable.Recent(aMoment.m_now, kMaxSuspects));
    });
  if (suspects == m_urgentSuspects) {
    return;
  }
  m_urgentSuspects = suspects;
  m_nextUrgentSend =
    m_lastUrgentSend == Instant::min()
      ? aMoment.m_now
      : std::max(aMoment.m_now, m_lastUrgentSend + kUrgentInterval);
}

void
DirectoryFlow::SendUrgentSuspects(Moment aMoment, Actions& aActions)
{
  m_nextUrgentSend = Instant::max();
  m_lastUrgentSend = aMoment.m_now;
  const NodeRow& own = m_view.Own();
  std::size_t sent = 0;
  for (const HostName& host : m_view.Hosts()) {
    const NodeRow* row = m_view.Find(host);
    if (row == nullptr || row->m_host == own.m_host ||
        row->m_service != own.m_service) {
      continue;
    }
    SendTo(row->m_peer, MakeMessage({}, aMoment), aActions);
    if (++sent == kUrgentPeers) {
      return;
    }
  }
}

void
DirectoryFlow::SendChanges(std::size_t aPeers,
                           Moment aMoment,
                           Actions& aActions)
{
  for (std::size_t peer = 0; peer < aPeers; ++peer) {
    const NodeRow* target = RandomPeer();
    if (target == nullptr) {
      RequestCopyFromContact(aMoment, aActions);
      return;
    }
    const Endpoint endpoint = target->m_peer;
    SendTo(endpoint,
           MakeMessage(m_view.TakePendingChanges(kMaxChangedRows), aMoment),
           aActions);
    m_generationSendsLeft -= m_generationSendsLeft > 0 ? 1 : 0;
    m_suspectSendsLeft -= m_suspectSendsLeft > 0 ? 1 : 0;
  }
}

void
DirectoryFlow::SendTo(const Endpoint& aPeer,
                      GossipMessage aMessage,
                      Actions& aActions)
{
  aActions.emplace_back(
    SendGossip{ ++m_messageSequence, aPeer, std::move(aMessage) });
}

void
DirectoryFlow::RequestFullCopy(const Endpoint& aPeer,
                               Moment aMoment,
                               Actions& aActions)
{
  if (aMoment.m_now < m_nextFullCopyRequest) {
    return;
  }
  m_nextFullCopyRequest = aMoment.m_now + kMinFullCopyInterval;
  GossipMessage message = MakeMessage({}, aMoment);
  message.m_requestsAllRows = true;
  if (m_copyRequests.size() >= kMaxCopyRequests) {
    m_copyRequests.clear();
  }
  m_copyRequests.insert(m_messageSequence + 1);
  SendTo(aPeer, std::move(message), aActions);
}

/* Used when the table is unavailable and no other node is known. */
void
DirectoryFlow::RequestCopyFromContact(Moment aMoment, Actions& aActions)
{
  const std::vector<Endpoint>& contacts = m_shared.m_identity.m_contacts;
  if (!contacts.empty()) {
    RequestFullCopy(
      contacts.at(m_random.NextBelow(contacts.size())), aMoment, aActions);
  }
}

GossipMessage
DirectoryFlow::MakeMessage(std::vector<NodeRow> aRows, Moment aMoment) const
{
  GossipMessage message;
  message.m_sender = m_view.Own();
  message.m_rows = std::move(aRows);
  std::erase_if(message.m_rows, [&](const NodeRow& aRow) {
    return aRow.m_host == message.m_sender.m_host;
  });
  message.m_generation = m_shared.m_configuration.Current()->m_generation;
  message.m_suspects =
    m_shared.m_suspects.WithLock([&](const SuspectTable& aTable) {
      return aTable.Recent(aMoment.m_now, kMaxSuspects);
    });
  message.m_digest = m_view.Digest();
  return message;
}

const NodeRow*
DirectoryFlow::RandomPeer()
{
  const auto hosts = m_view.Hosts();
  for (int draw = 0; draw < kMaxPeerDraws; ++draw) {
    const HostName& host = hosts[m_random.NextBelow(hosts.size())];
    if (host != m_shared.m_identity.m_host) {
      return m_view.Find(host);
    }
  }
  return nullptr;
}

/* Delays unsent changes a little, so that several share a message. */
void
DirectoryFlow::SchedulePush(Moment aMoment)
{
  if (HasChanges() && m_view.Size() > 1 && m_nextPush == Instant::max()) {
    m_nextPush = aMoment.m_now + Jitter(kPushDelay);
  }
}

bool
DirectoryFlow::HasChanges() const
{
  return m_view.HasPendingChanges() || m_generationSendsLeft > 0 ||
         m_suspectSendsLeft > 0;
}

/* Applies the first change at once and batches those that follow within
   kMinRoutesInterval. */
void
DirectoryFlow::ScheduleRoutes(Moment aMoment)
{
  if (m_view.TakeRoutesChanged() && m_nextRoutesUpdate == Instant::max()) {
    m_nextRoutesUpdate =
      std::max(aMoment.m_now, m_lastRoutesUpdate + kMinRoutesInterval);
  }
}

void
DirectoryFlow::UpdateRouters(Moment aMoment)
{
  m_nextRoutesUpdate = Instant::max();
  m_lastRoutesUpdate = aMoment.m_now;
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
  return Scale(aMean, kMinJitterFactor + kJitterRange * m_random.NextDouble());
}

StoreCallId
DirectoryFlow::NextCall()
{
  return { StoreClient::Directory, ++m_sequence };
}

}
