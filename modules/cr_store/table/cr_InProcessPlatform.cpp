#include "cr_store/table/cr_InProcessPlatform.h"

namespace cr {

StoreAnswer
InProcessPlatform::Execute(const StoreRequest& aRequest)
{
  const std::lock_guard lock(m_mutex);
  return std::visit(
    [this](const auto& aTyped) -> StoreAnswer { return Handle(aTyped); },
    aRequest);
}

StoreAnswer
InProcessPlatform::Handle(const TransactRequest& aRequest)
{
  ConditionFailed failed;
  for (const RowCondition& condition : aRequest.m_conditions) {
    const RowVersion version = VersionOf(condition.m_row);
    if (version != condition.m_version) {
      failed.m_found.push_back({ condition.m_row, version });
    }
  }
  if (!failed.m_found.empty()) {
    return failed;
  }
  for (const RowWrite& write : aRequest.m_writes) {
    std::erase_if(m_tables.m_history, [&](const auto& aChange) {
      return aChange.second == write.m_row;
    });
    m_tables.m_history.emplace(++m_tables.m_lastVersion, write.m_row);
    if (!write.m_value) {
      m_tables.m_rows.erase(write.m_row);
      continue;
    }
    m_tables.m_rows[write.m_row] = { write.m_row.m_key,
                                     *write.m_value,
                                     m_tables.m_lastVersion };
  }
  return Committed{};
}

void
InProcessPlatform::Compact()
{
  const std::lock_guard lock(m_mutex);
  m_tables.m_history.clear();
  m_tables.m_historyStart = m_tables.m_lastVersion;
}

void
InProcessPlatform::Save()
{
  const std::lock_guard lock(m_mutex);
  m_copy = m_tables;
}

void
InProcessPlatform::Restore()
{
  const std::lock_guard lock(m_mutex);
  m_tables = m_copy;
  ++m_era;
}

StoreEra
InProcessPlatform::Era() const
{
  const std::lock_guard lock(m_mutex);
  return m_era;
}

StoreAnswer
InProcessPlatform::Handle(const WatchRequest& aRequest) const
{
  if (aRequest.m_after < m_tables.m_historyStart ||
      aRequest.m_after > m_tables.m_lastVersion) {
    return HistoryLost{};
  }
  RowChanges changes;
  changes.m_version = m_tables.m_lastVersion;
  for (auto change = m_tables.m_history.upper_bound(aRequest.m_after);
       change != m_tables.m_history.end();
       ++change) {
    if (change->second.m_table != aRequest.m_table) {
      continue;
    }
    const auto row = m_tables.m_rows.find(change->second);
    if (row != m_tables.m_rows.end()) {
      changes.m_changes.push_back({ row->second, false });
    } else {
      changes.m_changes.push_back(
        { { change->second.m_key, {}, change->first }, true });
    }
  }
  return changes;
}

StoreAnswer
InProcessPlatform::Handle(const ScanRequest& aRequest) const
{
  RowPage page;
  page.m_version = m_tables.m_lastVersion;
  const std::string& from = std::max(aRequest.m_after, aRequest.m_prefix);
  auto row = m_tables.m_rows.lower_bound({ aRequest.m_table, from });
  for (;
       row != m_tables.m_rows.end() && row->first.m_table == aRequest.m_table &&
       row->first.m_key.starts_with(aRequest.m_prefix);
       ++row) {
    if (row->first.m_key == aRequest.m_after) {
      continue;
    }
    if (page.m_rows.size() == aRequest.m_limit) {
      page.m_more = true;
      break;
    }
    page.m_rows.push_back(row->second);
  }
  return page;
}

StoreAnswer
InProcessPlatform::Handle(const ReadRequest& aRequest) const
{
  const auto row = m_tables.m_rows.find(aRequest.m_row);
  if (row == m_tables.m_rows.end()) {
    return RowFound{};
  }
  return RowFound{ row->second };
}

StoreAnswer
InProcessPlatform::Handle(const PutObjectRequest& aRequest)
{
  m_objects.emplace(aRequest.m_name, aRequest.m_content);
  return Committed{};
}

StoreAnswer
InProcessPlatform::Handle(const GetObjectRequest& aRequest) const
{
  const auto object = m_objects.find(aRequest.m_name);
  if (object == m_objects.end()) {
    return ObjectFound{};
  }
  return ObjectFound{ object->second };
}

RowVersion
InProcessPlatform::VersionOf(const RowKey& aRow) const
{
  const auto row = m_tables.m_rows.find(aRow);
  return row == m_tables.m_rows.end() ? 0 : row->second.m_version;
}

}
