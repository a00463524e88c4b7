#pragma once

#include <map>
#include <string>
#include <vector>

#include "cr_membership/rows/cr_NodeRow.h"
#include "cr_store/cr_store.h"

namespace cr {

/** A row that is no node's row. */
struct UnreadableRow
{
  std::string m_key;
  std::string m_text;
};

/** All nodes, as the platform's table has them; a picture that may be old. It
    serves to choose hosts, never to prove anything. Not thread safe. */
class FleetDirectory
{
public:
  /** Takes in news of the table of nodes. Returns the rows that could not be
      read; they stand for no node. */
  std::vector<UnreadableRow> Apply(const TableNews& aNews);

  //==========================================================================
  /** Returns the rows of the nodes whose backend server is ready, by service;
      ordered by host. */
  std::map<std::string, std::vector<NodeRow>> ReadyByService() const;

  /** Returns the number of nodes by the service of their host. */
  std::map<std::string, std::size_t, std::less<>> CountByService() const;

  /** Returns the version of a host's row; 0 when it has none. */
  RowVersion VersionOf(const HostName& aHost) const;

  /** Returns a host's row, or null. It is valid until the next Apply(). */
  const NodeRow* Find(const HostName& aHost) const;

  /** Returns the number of nodes. */
  std::size_t Size() const { return m_nodes.size(); }

private:
  struct Entry
  {
    NodeRow m_row;
    RowVersion m_version = 0;
  };

  std::map<HostName, Entry> m_nodes;
};

}
