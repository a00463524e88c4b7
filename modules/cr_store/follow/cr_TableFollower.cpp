#include "cr_store/follow/cr_TableFollower.h"

#include <algorithm>
#include <utility>

namespace cr {

namespace {

constexpr std::uint32_t kPageRows = 500;
/* Over this time the nodes of a fleet spread their reads after the platform
   forgot the changes for all of them at once. */
constexpr Duration kReadSpread = Milliseconds(300);
/* A change that comes later after its call stands alone. */
constexpr Duration kQuickChange = Seconds(1);
/* Rest after the second quick change in a row, doubled with each further one
   up to the longest; a configuration may take seconds to be in force. */
constexpr Duration kFirstRest = Milliseconds(100);
constexpr int kGreatestRestDoublings = 2;

}

TableFollower::TableFollower(std::string aTable, std::uint64_t aSeed)
  : m_table(std::move(aTable))
  , m_pace(aSeed)
{
}

std::optional<StoreRequest>
TableFollower::NextCall(Instant aNow)
{
  if (m_isCalling || aNow < m_pace.NotBefore()) {
    return std::nullopt;
  }
  m_isCalling = true;
  m_calledAt = aNow;
  if (m_isReading) {
    return ScanRequest{ m_table, m_readAfter, kPageRows, {} };
  }
  return WatchRequest{ m_table, m_version, kLongestWatch };
}

TableNews
TableFollower::Take(const StoreAnswer& aAnswer, Instant aNow)
{
  m_isCalling = false;
  if (const auto* page = std::get_if<RowPage>(&aAnswer)) {
    m_pace.NoteSuccess();
    return TakePage(*page);
  }
  if (const auto* changes = std::get_if<RowChanges>(&aAnswer)) {
    m_pace.NoteSuccess();
    m_version = changes->m_version;
    if (!changes->m_changes.empty()) {
      RestWhileChangesGather(aNow);
    }
    return { changes->m_changes, false };
  }
  if (std::holds_alternative<HistoryLost>(aAnswer)) {
    m_pace.NoteSuccess();
    m_pace.PutOff(Duration::zero(), kReadSpread, aNow);
  } else {
    m_pace.NoteFailure(aNow);
  }
  if (m_isReading || std::holds_alternative<HistoryLost>(aAnswer)) {
    // Pages of a reading that broke off belong to different moments.
    m_isReading = true;
    m_readAfter.clear();
    m_read = {};
  }
  return {};
}

std::optional<Instant>
TableFollower::NextDue() const
{
  return m_isCalling ? std::nullopt : std::optional(m_pace.NotBefore());
}

void
TableFollower::RestWhileChangesGather(Instant aNow)
{
  m_quickChanges = aNow - m_calledAt < kQuickChange ? m_quickChanges + 1 : 0;
  if (m_quickChanges >= 2) {
    const int doublings = std::min(m_quickChanges - 2, kGreatestRestDoublings);
    const Duration rest = kFirstRest * (1 << doublings);
    m_pace.PutOff(rest, rest, aNow);
  }
}

TableNews
TableFollower::TakePage(const RowPage& aPage)
{
  if (m_readAfter.empty()) {
    m_version = aPage.m_version;
  }
  for (const Row& row : aPage.m_rows) {
    m_read.m_changes.push_back({ row, false });
    m_readAfter = row.m_key;
  }
  if (aPage.m_more && !aPage.m_rows.empty()) {
    return {};
  }
  m_isReading = false;
  m_isLoaded = true;
  m_readAfter.clear();
  TableNews whole = std::exchange(m_read, {});
  whole.m_isWhole = true;
  return whole;
}

}
