#include "cr_store/follow/cr_TableFollower.h"

#include <utility>

namespace cr {

namespace {

constexpr std::uint32_t kPageRows = 500;
/* Over this time the nodes of a fleet spread their reads after the platform
   forgot the changes for all of them at once. */
constexpr Duration kReadSpread = Milliseconds(300);

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
    return { changes->m_changes, false };
  }
  if (std::holds_alternative<HistoryLost>(aAnswer)) {
    m_pace.NoteSuccess();
    m_pace.PutOff(kReadSpread, aNow);
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
