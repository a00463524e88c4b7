#include "cr_membership/view/cr_MembershipView.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <utility>

namespace cr {

namespace {

constexpr Duration kLease = Seconds(50);
constexpr Duration kRemoveAfter = Seconds(3600);
constexpr std::size_t kMaxRows = 4096;
constexpr std::size_t kMaxPendingChanges = 64;
constexpr unsigned kTransmitsPerDoubling = 2;

std::size_t
BucketOf(const HostName& aHost)
{
  return Hash(aHost) % kBucketCount;
}

std::uint32_t
DigestOf(const NodeRow& aRow)
{
  const std::uint64_t name =
    Hash(aRow.m_host, static_cast<std::uint64_t>(aRow.m_incarnation));
  return static_cast<std::uint32_t>(Hash(name, aRow.m_revision));
}

}

MembershipView::MembershipView(const NodeRow& aOwn)
  : m_host(aOwn.m_host)
{
  Put(aOwn, RowSource::Change, Instant());
}

bool
MembershipView::SetServer(const std::string& aService,
                          ServerState aState,
                          Instant aNow)
{
  NodeRow own = Own();
  if (own.m_service == aService && own.m_state == aState) {
    return false;
  }
  own.m_service = aService;
  own.m_state = aState;
  ++own.m_revision;
  Put(own, RowSource::Change, aNow);
  return true;
}

bool
MembershipView::Update(const NodeRow& aRow, RowSource aSource, Instant aNow)
{
  const auto known = m_rows.find(aRow.m_host);
  if (aRow.m_host == m_host ||
      (known != m_rows.end() && !IsNewer(aRow, known->second.m_row)) ||
      (known == m_rows.end() && !EnsureCapacity())) {
    return false;
  }
  Put(aRow, aSource, aNow);
  return true;
}

bool
MembershipView::UpdateFromSender(const NodeRow& aSender, Instant aNow)
{
  const bool isChanged = Update(aSender, RowSource::Change, aNow);
  const auto known = m_rows.find(aSender.m_host);
  if (aSender.m_host == m_host || known == m_rows.end() ||
      known->second.m_row != aSender) {
    return isChanged;
  }
  Renew(known->second, aNow);
  TakeEndpoint(aSender);
  return isChanged;
}

std::vector<RowCondition>
MembershipView::ApplyTablePage(const NodeTablePage& aPage, Instant aNow)
{
  std::vector<RowCondition> expired;
  for (const VersionedNodeRow& observed : aPage.m_rows) {
    ApplyTableRow(observed, aNow);
    const auto known = m_rows.find(observed.m_row.m_host);
    if (known != m_rows.end() && known->second.m_isExpired &&
        known->second.m_version == observed.m_version &&
        UnchangedFor(known->second, aNow) >= kRemoveAfter) {
      expired.push_back(
        { { std::string(kNodeTable), known->first }, observed.m_version });
    }
  }
  HandleMissingRows(aPage, aNow);
  return expired;
}

void
MembershipView::OnTableOutage(Instant aNow)
{
  m_lastOutage = aNow;
}

std::vector<NodeRow>
MembershipView::TakePendingChanges(std::size_t aLimit)
{
  std::vector<std::pair<unsigned, HostName>> order;
  for (const auto& [host, remaining] : m_pendingChanges) {
    order.emplace_back(remaining, host);
  }
  std::sort(order.begin(), order.end(), std::greater<>());
  order.resize(std::min(order.size(), aLimit));
  std::vector<NodeRow> rows;
  for (const auto& [remaining, host] : order) {
    rows.push_back(m_rows.at(host).m_row);
    if (--m_pendingChanges[host] == 0) {
      m_pendingChanges.erase(host);
    }
  }
  return rows;
}

bool
MembershipView::TakeRoutesChanged()
{
  return std::exchange(m_routesChanged, false);
}

const NodeRow*
MembershipView::Find(const HostName& aHost) const
{
  const auto row = m_rows.find(aHost);
  return row == m_rows.end() || row->second.m_isExpired ? nullptr
                                                        : &row->second.m_row;
}

std::vector<NodeRow>
MembershipView::All() const
{
  std::vector<NodeRow> rows;
  for (const auto& [host, entry] : m_rows) {
    if (!entry.m_isExpired) {
      rows.push_back(entry.m_row);
    }
  }
  return rows;
}

std::vector<NodeRow>
MembershipView::RowsInBucket(std::size_t aBucket) const
{
  std::vector<NodeRow> rows;
  for (const auto& [host, entry] : m_rows) {
    if (!entry.m_isExpired && BucketOf(host) == aBucket) {
      rows.push_back(entry.m_row);
    }
  }
  return rows;
}

std::uint32_t
MembershipView::Digest() const
{
  std::uint64_t digest = 0;
  for (const std::uint32_t bucket : m_digests) {
    digest = Hash(digest, bucket);
  }
  return static_cast<std::uint32_t>(digest);
}

//==============================================================================
void
MembershipView::Put(const NodeRow& aRow, RowSource aSource, Instant aNow)
{
  const auto [place, added] = m_rows.try_emplace(aRow.m_host);
  Entry& entry = place->second;
  if (!added) {
    SetExpired(entry, true);
    const auto previous = m_byEndpoint.find(entry.m_row.m_peer);
    if (previous != m_byEndpoint.end() && previous->second == aRow.m_host) {
      m_byEndpoint.erase(previous);
    }
  }
  const bool restarted = entry.m_row.m_incarnation != aRow.m_incarnation;
  entry.m_row = aRow;
  entry.m_version = restarted ? 0 : entry.m_version;
  entry.m_unchangedSince = aNow;
  entry.m_isExpired = true;
  SetExpired(entry, false);
  if (aSource == RowSource::Change &&
      (aRow.m_host == m_host || m_pendingChanges.size() < kMaxPendingChanges)) {
    m_pendingChanges[aRow.m_host] = TransmitLimit();
  }
  m_lastChange = aNow;
  m_routesChanged = true;
  if (IsSuperseded(aRow)) {
    SetExpired(entry, true);
    return;
  }
  TakeEndpoint(aRow);
}

/* Returns whether another host with a later incarnation uses the row's
   endpoint. */
bool
MembershipView::IsSuperseded(const NodeRow& aRow) const
{
  const auto holder = m_byEndpoint.find(aRow.m_peer);
  return holder != m_byEndpoint.end() && holder->second != aRow.m_host &&
         m_rows.at(holder->second).m_row.m_incarnation > aRow.m_incarnation;
}

void
MembershipView::Renew(Entry& aEntry, Instant aNow)
{
  aEntry.m_unchangedSince = aNow;
  const auto holder = m_byEndpoint.find(aEntry.m_row.m_peer);
  if (holder == m_byEndpoint.end() || holder->second == aEntry.m_row.m_host) {
    SetExpired(aEntry, false);
  }
}

/* Assigns the row's endpoint to its host and expires the host that had it
   before. */
void
MembershipView::TakeEndpoint(const NodeRow& aRow)
{
  const HostName previous =
    std::exchange(m_byEndpoint[aRow.m_peer], aRow.m_host);
  if (!previous.empty() && previous != aRow.m_host && previous != m_host) {
    SetExpired(m_rows.at(previous), true);
  }
  SetExpired(m_rows.at(aRow.m_host), false);
}

void
MembershipView::SetExpired(Entry& aEntry, bool aIsExpired)
{
  if (aEntry.m_isExpired == aIsExpired) {
    return;
  }
  aEntry.m_isExpired = aIsExpired;
  ToggleDigest(aEntry);
  m_routesChanged = true;
  const HostName& host = aEntry.m_row.m_host;
  if (aIsExpired) {
    std::erase(m_liveHosts, host);
    m_pendingChanges.erase(host);
  } else {
    m_liveHosts.push_back(host);
  }
}

void
MembershipView::ApplyTableRow(const VersionedNodeRow& aObserved, Instant aNow)
{
  const NodeRow& row = aObserved.m_row;
  if (row.m_host == m_host) {
    m_hasNameConflict = row.m_incarnation > Own().m_incarnation;
    return;
  }
  Update(row, RowSource::Snapshot, aNow);
  const auto known = m_rows.find(row.m_host);
  if (known == m_rows.end() ||
      known->second.m_row.m_incarnation != row.m_incarnation) {
    return;
  }
  Entry& entry = known->second;
  const RowVersion before = std::exchange(entry.m_version, aObserved.m_version);
  if (before != 0 && before != aObserved.m_version) {
    Renew(entry, aNow);
  }
  ExpireIfNotRenewed(entry, aNow);
}

/* Expires, and later removes, rows in the page's key range that the page does
   not contain. */
void
MembershipView::HandleMissingRows(const NodeTablePage& aPage, Instant aNow)
{
  std::set<HostName> seen{ m_host };
  for (const VersionedNodeRow& observed : aPage.m_rows) {
    seen.insert(observed.m_row.m_host);
  }
  auto row = m_rows.upper_bound(aPage.m_after);
  while (row != m_rows.end() &&
         (aPage.m_last.empty() || row->first <= aPage.m_last)) {
    const auto current = row++;
    if (seen.contains(current->first)) {
      continue;
    }
    ExpireIfNotRenewed(current->second, aNow);
    if (current->second.m_isExpired &&
        UnchangedFor(current->second, aNow) >= kRemoveAfter) {
      Remove(current);
    }
  }
}

void
MembershipView::ExpireIfNotRenewed(Entry& aEntry, Instant aNow)
{
  if (UnchangedFor(aEntry, aNow) >= kLease) {
    SetExpired(aEntry, true);
  }
}

Duration
MembershipView::UnchangedFor(const Entry& aEntry, Instant aNow) const
{
  return aNow - std::max(aEntry.m_unchangedSince, m_lastOutage);
}

void
MembershipView::Remove(RowMap::iterator aRow)
{
  SetExpired(aRow->second, true);
  const auto holder = m_byEndpoint.find(aRow->second.m_row.m_peer);
  if (holder != m_byEndpoint.end() && holder->second == aRow->first) {
    m_byEndpoint.erase(holder);
  }
  m_rows.erase(aRow);
}

/* Adds the row to its bucket's digest, or removes it if it is already
   included. */
void
MembershipView::ToggleDigest(const Entry& aEntry)
{
  m_digests.at(BucketOf(aEntry.m_row.m_host)) ^= DigestOf(aEntry.m_row);
}

bool
MembershipView::EnsureCapacity()
{
  if (m_rows.size() < kMaxRows) {
    return true;
  }
  const auto expired =
    std::find_if(m_rows.begin(), m_rows.end(), [](const auto& aRow) {
      return aRow.second.m_isExpired;
    });
  if (expired == m_rows.end()) {
    return false;
  }
  Remove(expired);
  return true;
}

unsigned
MembershipView::TransmitLimit() const
{
  return kTransmitsPerDoubling *
         static_cast<unsigned>(std::bit_width(m_liveHosts.size()) + 1);
}

}
