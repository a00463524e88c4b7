#include "cr_membership/view/cr_MembershipView.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <utility>

namespace cr {

namespace {

constexpr Duration kLease = Seconds(50);
constexpr Duration kRemoveAfter = Seconds(3600);
constexpr std::size_t kRowLimit = 4096;
constexpr std::size_t kNewsLimit = 64;
constexpr unsigned kTellingsPerDoubling = 2;

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
  Put(aOwn, RowSource::News, Instant());
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
  Put(own, RowSource::News, aNow);
  return true;
}

bool
MembershipView::Learn(const NodeRow& aRow, RowSource aSource, Instant aNow)
{
  const auto known = m_rows.find(aRow.m_host);
  if (aRow.m_host == m_host ||
      (known != m_rows.end() && !IsNewer(aRow, known->second.m_row)) ||
      (known == m_rows.end() && !MakeRoom())) {
    return false;
  }
  Put(aRow, aSource, aNow);
  return true;
}

bool
MembershipView::Hear(const NodeRow& aSender, Instant aNow)
{
  const bool news = Learn(aSender, RowSource::News, aNow);
  const auto known = m_rows.find(aSender.m_host);
  if (aSender.m_host == m_host || known == m_rows.end() ||
      known->second.m_row != aSender) {
    return news;
  }
  Renew(known->second, aNow);
  Displace(aSender);
  return news;
}

std::vector<RowCondition>
MembershipView::Observe(const ObservedPage& aPage, Instant aNow)
{
  std::vector<RowCondition> expired;
  for (const ObservedRow& observed : aPage.m_rows) {
    ObserveRow(observed, aNow);
    const auto known = m_rows.find(observed.m_row.m_host);
    if (known != m_rows.end() && known->second.m_lapsed &&
        known->second.m_version == observed.m_version &&
        UnchangedFor(known->second, aNow) >= kRemoveAfter) {
      expired.push_back(
        { { std::string(kNodeTable), known->first }, observed.m_version });
    }
  }
  ForgetMissing(aPage, aNow);
  return expired;
}

void
MembershipView::ReportOutage(Instant aNow)
{
  m_lastOutage = aNow;
}

std::vector<NodeRow>
MembershipView::TakeNews(std::size_t aLimit)
{
  std::vector<std::pair<unsigned, HostName>> order;
  for (const auto& [host, remaining] : m_news) {
    order.emplace_back(remaining, host);
  }
  std::sort(order.begin(), order.end(), std::greater<>());
  order.resize(std::min(order.size(), aLimit));
  std::vector<NodeRow> rows;
  for (const auto& [remaining, host] : order) {
    rows.push_back(m_rows.at(host).m_row);
    if (--m_news[host] == 0) {
      m_news.erase(host);
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
  return row == m_rows.end() || row->second.m_lapsed ? nullptr
                                                     : &row->second.m_row;
}

std::vector<NodeRow>
MembershipView::All() const
{
  std::vector<NodeRow> rows;
  for (const auto& [host, entry] : m_rows) {
    if (!entry.m_lapsed) {
      rows.push_back(entry.m_row);
    }
  }
  return rows;
}

std::vector<NodeRow>
MembershipView::RowsOf(std::size_t aBucket) const
{
  std::vector<NodeRow> rows;
  for (const auto& [host, entry] : m_rows) {
    if (!entry.m_lapsed && BucketOf(host) == aBucket) {
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
    SetLapsed(entry, true);
    const auto former = m_byEndpoint.find(entry.m_row.m_peer);
    if (former != m_byEndpoint.end() && former->second == aRow.m_host) {
      m_byEndpoint.erase(former);
    }
  }
  const bool restarted = entry.m_row.m_incarnation != aRow.m_incarnation;
  entry.m_row = aRow;
  entry.m_version = restarted ? 0 : entry.m_version;
  entry.m_unchangedSince = aNow;
  entry.m_lapsed = true;
  SetLapsed(entry, false);
  if (aSource == RowSource::News &&
      (aRow.m_host == m_host || m_news.size() < kNewsLimit)) {
    m_news[aRow.m_host] = Tellings();
  }
  m_lastChange = aNow;
  m_routesChanged = true;
  if (IsDisplaced(aRow)) {
    SetLapsed(entry, true);
    return;
  }
  Displace(aRow);
}

/* Another host took the row's endpoint after it. */
bool
MembershipView::IsDisplaced(const NodeRow& aRow) const
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
    SetLapsed(aEntry, false);
  }
}

/* The host that had the row's endpoint before is gone. */
void
MembershipView::Displace(const NodeRow& aRow)
{
  const HostName former = std::exchange(m_byEndpoint[aRow.m_peer], aRow.m_host);
  if (!former.empty() && former != aRow.m_host && former != m_host) {
    SetLapsed(m_rows.at(former), true);
  }
  SetLapsed(m_rows.at(aRow.m_host), false);
}

void
MembershipView::SetLapsed(Entry& aEntry, bool aLapsed)
{
  if (aEntry.m_lapsed == aLapsed) {
    return;
  }
  aEntry.m_lapsed = aLapsed;
  Toggle(aEntry);
  m_routesChanged = true;
  const HostName& host = aEntry.m_row.m_host;
  if (aLapsed) {
    std::erase(m_live, host);
    m_news.erase(host);
  } else {
    m_live.push_back(host);
  }
}

void
MembershipView::ObserveRow(const ObservedRow& aObserved, Instant aNow)
{
  const NodeRow& row = aObserved.m_row;
  if (row.m_host == m_host) {
    m_hasRival = row.m_incarnation > Own().m_incarnation;
    return;
  }
  Learn(row, RowSource::Copy, aNow);
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
  LapseIfUnrenewed(entry, aNow);
}

/* Lapses, and later forgets, the rows that the page should hold and does not.
 */
void
MembershipView::ForgetMissing(const ObservedPage& aPage, Instant aNow)
{
  std::set<HostName> seen{ m_host };
  for (const ObservedRow& observed : aPage.m_rows) {
    seen.insert(observed.m_row.m_host);
  }
  auto row = m_rows.upper_bound(aPage.m_after);
  while (row != m_rows.end() &&
         (aPage.m_last.empty() || row->first <= aPage.m_last)) {
    const auto current = row++;
    if (seen.contains(current->first)) {
      continue;
    }
    LapseIfUnrenewed(current->second, aNow);
    if (current->second.m_lapsed &&
        UnchangedFor(current->second, aNow) >= kRemoveAfter) {
      Forget(current);
    }
  }
}

void
MembershipView::LapseIfUnrenewed(Entry& aEntry, Instant aNow)
{
  if (UnchangedFor(aEntry, aNow) >= kLease) {
    SetLapsed(aEntry, true);
  }
}

Duration
MembershipView::UnchangedFor(const Entry& aEntry, Instant aNow) const
{
  return aNow - std::max(aEntry.m_unchangedSince, m_lastOutage);
}

void
MembershipView::Forget(RowMap::iterator aRow)
{
  SetLapsed(aRow->second, true);
  const auto holder = m_byEndpoint.find(aRow->second.m_row.m_peer);
  if (holder != m_byEndpoint.end() && holder->second == aRow->first) {
    m_byEndpoint.erase(holder);
  }
  m_rows.erase(aRow);
}

/* Adds the row to its bucket's digest, or takes it out again. */
void
MembershipView::Toggle(const Entry& aEntry)
{
  m_digests.at(BucketOf(aEntry.m_row.m_host)) ^= DigestOf(aEntry.m_row);
}

bool
MembershipView::MakeRoom()
{
  if (m_rows.size() < kRowLimit) {
    return true;
  }
  const auto lapsed =
    std::find_if(m_rows.begin(), m_rows.end(), [](const auto& aRow) {
      return aRow.second.m_lapsed;
    });
  if (lapsed == m_rows.end()) {
    return false;
  }
  Forget(lapsed);
  return true;
}

unsigned
MembershipView::Tellings() const
{
  return kTellingsPerDoubling *
         static_cast<unsigned>(std::bit_width(m_live.size()) + 1);
}

}
