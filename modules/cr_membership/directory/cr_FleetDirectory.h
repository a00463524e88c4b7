#pragma once

#include <map>
#include <string>
#include <vector>

#include "cr_membership/rows/cr_NodeRow.h"
#include "cr_store/cr_store.h"

namespace cr {

/** A table row that could not be decoded as a node's row, and why. */
struct UnreadableRow
{
  std::string m_key;
  std::string m_text;
};

/** All nodes listed in the platform's node table, and for a time those that the
    table has lost. The data may be stale: use it to choose hosts, not where
    correctness depends on it. Not thread safe. */
class FleetDirectory
{
public:
  /** Applies changes of the node table. Returns the rows that could not be
      decoded; they are left out of the directory. */
  std::vector<UnreadableRow> Apply(const TableChanges& aChanges);

  /** Applies a snapshot of a table that may have lost rows. A known row stays
      if it is newer than the one in the snapshot or if the snapshot has none;
      it does not count as stored until a change brings it again. Returns the
      rows that could not be decoded.
      @pre aSnapshot.m_isSnapshot */
  std::vector<UnreadableRow> ApplyRestored(const TableChanges& aSnapshot);

  //==========================================================================
  /** Returns the rows of the nodes whose backend server is ready, grouped by
      service and ordered by host. */
  std::map<std::string, std::vector<NodeRow>> ReadyByService() const;

  /** Returns the rows of all nodes of the service, ordered by host. */
  std::vector<NodeRow> OfService(const std::string& aService) const;

  /** Returns the number of nodes of each service. */
  std::map<std::string, std::size_t, std::less<>> CountByService() const;

  /** Returns the version of a host's row; 0 if there is none. */
  RowVersion VersionOf(const HostName& aHost) const;

  /** Returns a host's row, or null. The pointer is valid until the next
      Apply(). */
  const NodeRow* Find(const HostName& aHost) const;

  /** Returns whether the host has a row and the table is known to hold it. */
  bool IsStored(const HostName& aHost) const;

  /** Returns whether there are rows that the table has lost. */
  bool HasLostRows() const { return m_hasLostRows; }

  /** Returns the number of nodes. */
  std::size_t Size() const { return m_nodes.size(); }

private:
  struct Entry
  {
    NodeRow m_row;
    RowVersion m_version = 0;
    /* The table holds this row, in this state. */
    bool m_isStored = true;
  };

  void UpdateHasLostRows();

  std::map<HostName, Entry> m_nodes;
  /* Asked after every event of a node. */
  bool m_hasLostRows = false;
};

}
