#include "cr_store/follow/cr_TableFollower.h"

#include <algorithm>
#include <utility>

namespace cr {

namespace {

constexpr std::uint32_t kMaxPageRows = 500;
/* Spreads the rescans of a fleet's nodes, since the platform drops its change
   history, or comes back from a copy, for all of them at once. */
constexpr Duration kRescanJitter = Milliseconds(300);
/* A change that arrives later than this after the start of its call is not part
   of a rapid series. */
constexpr Duration kRapidChangeWindow = Seconds(1);
/* Delay after the second consecutive rapid change; doubles with each further
   one up to the max. The delay is acceptable because a configuration may take
   seconds to become active anyway. */
constexpr Duration kInitialBatchDelay = Milliseconds(100);
constexpr int kMaxBatchDelayDoublings = 2;

}

TableFollower::TableFollower(std::string aTable, std::uint64_t aSeed)
  : m_table(std::move(aTable))
  , m_backoff(aSeed)
{
}

std::optional<StoreRequest>
TableFollower::NextCall(Instant aNow)
{
  if (m_isCallPending || aNow < m_backoff.NotBefore()) {
    return std::nullopt;
  }
  m_isCallPending = true;
  m_callStart = aNow;
  if (m_isScanning) {
    return ScanRequest{ m_table, m_scanAfter, kMaxPageRows, {} };
  }
  return WatchRequest{ m_table, m_version, m_watchWait };
}

TableChanges
TableFollower::HandleAnswer(const StoreAnswer& aAnswer, Instant aNow)
{
  m_isCallPending = false;
  if (const auto* page = std::get_if<RowPage>(&aAnswer)) {
    m_backoff.OnSuccess();
    return HandlePage(*page);
  }
  if (const auto* changes = std::get_if<RowChanges>(&aAnswer)) {
    m_backoff.OnSuccess();
    m_version = changes->m_version;
    m_watchWait = std::min(m_watchWait * 2, kMaxWatchWait);
    if (!changes->m_changes.empty()) {
      DelayToBatchChanges(aNow);
    }
    return { changes->m_changes, false };
  }
  if (std::holds_alternative<HistoryLost>(aAnswer)) {
    m_backoff.OnSuccess();
    m_backoff.DelayNext(Duration::zero(), kRescanJitter, aNow);
  } else {
    m_backoff.OnFailure(aNow);
    m_watchWait = kWatchWaitAfterFailure;
  }
  if (m_isScanning || std::holds_alternative<HistoryLost>(aAnswer)) {
    // Pages of an interrupted scan show the table at different times, so the
    // scan starts over.
    StartScan();
  }
  return {};
}

void
TableFollower::Restart(Instant aNow)
{
  m_isCallPending = false;
  m_backoff.DelayNext(Duration::zero(), kRescanJitter, aNow);
  StartScan();
}

std::optional<Instant>
TableFollower::NextWakeup() const
{
  return m_isCallPending ? std::nullopt : std::optional(m_backoff.NotBefore());
}

bool
TableFollower::RepeatCallFrom(Instant aBefore)
{
  if (!m_isCallPending || m_callStart >= aBefore) {
    return false;
  }
  m_isCallPending = false;
  if (m_isScanning) {
    StartScan();
  }
  return true;
}

//==============================================================================
void
TableFollower::StartScan()
{
  m_isScanning = true;
  m_scanAfter.clear();
  m_scanned = {};
}

void
TableFollower::DelayToBatchChanges(Instant aNow)
{
  m_rapidChanges =
    aNow - m_callStart < kRapidChangeWindow ? m_rapidChanges + 1 : 0;
  if (m_rapidChanges >= 2) {
    const int doublings = std::min(m_rapidChanges - 2, kMaxBatchDelayDoublings);
    const Duration delay = kInitialBatchDelay * (1 << doublings);
    m_backoff.DelayNext(delay, delay, aNow);
  }
}

TableChanges
TableFollower::HandlePage(const RowPage& aPage)
{
  if (m_scanAfter.empty()) {
    m_version = aPage.m_version;
  }
  for (const Row& row : aPage.m_rows) {
    m_scanned.m_changes.push_back({ row, false });
    m_scanAfter = row.m_key;
  }
  if (aPage.m_more && !aPage.m_rows.empty()) {
    return {};
  }
  m_isScanning = false;
  m_isLoaded = true;
  m_scanAfter.clear();
  TableChanges snapshot = std::exchange(m_scanned, {});
  snapshot.m_isSnapshot = true;
  return snapshot;
}

}
