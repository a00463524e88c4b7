#include "cr_membership/directory/cr_FleetDirectory.h"

#include <algorithm>
#include <utility>

namespace cr {

std::vector<UnreadableRow>
FleetDirectory::Apply(const TableChanges& aChanges)
{
  std::vector<UnreadableRow> unreadable;
  if (aChanges.m_isSnapshot) {
    m_nodes.clear();
  }
  for (const RowChange& change : aChanges.m_changes) {
    m_nodes.erase(change.m_row.m_key);
    if (change.m_isRemoved) {
      continue;
    }
    auto row = DecodeNodeRow(change.m_row.m_value);
    if (!row || row->m_host != change.m_row.m_key) {
      unreadable.push_back({ change.m_row.m_key,
                             row ? "another host's row" : row.error().m_text });
      continue;
    }
    m_nodes.emplace(change.m_row.m_key,
                    Entry{ std::move(*row), change.m_row.m_version });
  }
  UpdateHasLostRows();
  return unreadable;
}

std::vector<UnreadableRow>
FleetDirectory::ApplyRestored(const TableChanges& aSnapshot)
{
  auto known = std::exchange(m_nodes, {});
  std::vector<UnreadableRow> unreadable = Apply(aSnapshot);
  for (auto& [host, entry] : known) {
    const auto restored = m_nodes.find(host);
    if (restored != m_nodes.end() &&
        !IsNewer(entry.m_row, restored->second.m_row)) {
      continue;
    }
    entry.m_version = VersionOf(host);
    entry.m_isStored = false;
    m_nodes.insert_or_assign(host, std::move(entry));
  }
  UpdateHasLostRows();
  return unreadable;
}

std::map<std::string, std::vector<NodeRow>>
FleetDirectory::ReadyByService() const
{
  std::map<std::string, std::vector<NodeRow>> ready;
  for (const auto& [host, entry] : m_nodes) {
    if (entry.m_row.m_state == ServerState::Ready) {
      ready[entry.m_row.m_service].push_back(entry.m_row);
    }
  }
  return ready;
}

std::vector<NodeRow>
FleetDirectory::OfService(const std::string& aService) const
{
  std::vector<NodeRow> rows;
  for (const auto& [host, entry] : m_nodes) {
    if (entry.m_row.m_service == aService) {
      rows.push_back(entry.m_row);
    }
  }
  return rows;
}

std::map<std::string, std::size_t, std::less<>>
FleetDirectory::CountByService() const
{
  std::map<std::string, std::size_t, std::less<>> counts;
  for (const auto& [host, entry] : m_nodes) {
    ++counts[entry.m_row.m_service];
  }
  return counts;
}

RowVersion
FleetDirectory::VersionOf(const HostName& aHost) const
{
  const auto entry = m_nodes.find(aHost);
  return entry != m_nodes.end() ? entry->second.m_version : 0;
}

bool
FleetDirectory::IsStored(const HostName& aHost) const
{
  const auto entry = m_nodes.find(aHost);
  return entry != m_nodes.end() && entry->second.m_isStored;
}

const NodeRow*
FleetDirectory::Find(const HostName& aHost) const
{
  const auto entry = m_nodes.find(aHost);
  return entry != m_nodes.end() ? &entry->second.m_row : nullptr;
}

//==============================================================================
void
FleetDirectory::UpdateHasLostRows()
{
  m_hasLostRows =
    std::any_of(m_nodes.begin(), m_nodes.end(), [](const auto& aNode) {
      return !aNode.second.m_isStored;
    });
}

}
