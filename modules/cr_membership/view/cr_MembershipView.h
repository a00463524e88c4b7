#pragma once

#include <array>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "cr_membership/rows/cr_NodeRow.h"

namespace cr {

/** Number of buckets that rows are hashed into by host, to compare two
    views. */
inline constexpr std::size_t kBucketCount = 64;

/** Digest of the rows of each bucket. */
using BucketDigests = std::array<std::uint32_t, kBucketCount>;

/** A row of the node table with its table version. */
struct VersionedNodeRow
{
  NodeRow m_row;
  RowVersion m_version = 0;
};

/** One page of the node table, in key order. */
struct NodeTablePage
{
  std::vector<VersionedNodeRow> m_rows;
  /** The page holds every row with a key greater than this. */
  std::string m_after;
  /** Upper bound of the page's keys, inclusive; empty when the page reaches the
      end of the table. */
  std::string m_last;
};

/** How a row reached this node. */
enum class RowSource : std::uint8_t
{
  /** As a change; it is gossiped onwards unless too many changes are pending
      already. Changes left out still spread by digest comparison and table
      reads. */
  Change,
  /** In a full copy; other nodes have it already, so it is not gossiped. */
  Snapshot
};

/** All nodes that a node knows of, with the newest row of each host.

    A row of an older incarnation or revision never replaces a newer one. A row
    expires when reads of the table show no renewal for the duration of the
    lease. This compares row versions of the table, never the clocks of two
    hosts; an outage of the table restarts the lease. Expired rows receive no
    calls but are kept, so that a late gossip message does not revive them.

    Each change is sent in a number of gossip messages that grows with the
    logarithm of the number of nodes, as in SWIM (Das, Gupta, Motivala, 2002).
    Digests by bucket let two views find the rows that either lacks.

    Not thread safe. */
class MembershipView
{
public:
  /** Creates a view that holds only this node's own row, pending for gossip. */
  explicit MembershipView(const NodeRow& aOwn);

  //==========================================================================
  /** Updates the service and server state in the own row. Returns whether it
      changed; if so, its revision is increased. */
  bool SetServer(const std::string& aService, ServerState aState, Instant aNow);

  /** Applies a row received from another node. Returns whether it was newer
      than the known one. Once the maximum number of rows is reached and none
      has expired, unknown hosts are ignored. */
  bool Update(const NodeRow& aRow, RowSource aSource, Instant aNow);

  /** Applies a row received directly from the node that it describes, which
      also renews it. Returns whether the row was newer than the known one. */
  bool UpdateFromSender(const NodeRow& aSender, Instant aNow);

  /** Applies a page of the table and expires the rows in its key range that
      were not renewed. Returns conditions on rows that have not been renewed
      for so long that they are to be removed from the table. */
  std::vector<RowCondition> ApplyTablePage(const NodeTablePage& aPage,
                                           Instant aNow);

  /** Records that the table did not answer: no row expires for a whole lease
      from now. */
  void OnTableOutage(Instant aNow);

  /** Returns at most aLimit changes to send in a gossip message, those with the
      most remaining transmissions first, and decrements their remaining
      transmissions. */
  std::vector<NodeRow> TakePendingChanges(std::size_t aLimit);

  /** Returns whether the rows that routing depends on changed since the last
      call. */
  bool TakeRoutesChanged();

  //==========================================================================
  /** Returns the own row. */
  const NodeRow& Own() const { return m_rows.at(m_host).m_row; }

  /** Returns whether changes are pending for gossip. */
  bool HasPendingChanges() const { return !m_pendingChanges.empty(); }

  /** Returns the last time at which a row changed. */
  Instant LastChange() const { return m_lastChange; }

  /** Returns the number of rows that have not expired. */
  std::size_t Size() const { return m_liveHosts.size(); }

  /** Returns the hosts whose rows have not expired, the own one included. */
  std::span<const HostName> Hosts() const { return m_liveHosts; }

  /** Returns the row of the host; null when it is unknown or expired. */
  const NodeRow* Find(const HostName& aHost) const;

  /** Returns all rows that have not expired. */
  std::vector<NodeRow> All() const;

  /** Returns the rows of a bucket that have not expired. */
  std::vector<NodeRow> RowsInBucket(std::size_t aBucket) const;

  /** Returns the digests of all buckets. */
  const BucketDigests& Digests() const { return m_digests; }

  /** Returns one digest over all buckets. */
  std::uint32_t Digest() const;

  /** Returns the number of gossip messages in which a change is sent. */
  unsigned TransmitLimit() const;

  /** Returns whether the table has a later incarnation of the own host, which
      means that two processes use the same host name. */
  bool HasNameConflict() const { return m_hasNameConflict; }

private:
  struct Entry
  {
    NodeRow m_row;
    RowVersion m_version = 0;
    /** Time since which the table has shown this version, or no row. */
    Instant m_unchangedSince;
    bool m_isExpired = false;
  };

  using RowMap = std::map<HostName, Entry>;

  void Put(const NodeRow& aRow, RowSource aSource, Instant aNow);
  void Renew(Entry& aEntry, Instant aNow);
  void TakeEndpoint(const NodeRow& aRow);
  void ApplyTableRow(const VersionedNodeRow& aObserved, Instant aNow);
  void HandleMissingRows(const NodeTablePage& aPage, Instant aNow);
  Duration UnchangedFor(const Entry& aEntry, Instant aNow) const;
  void SetExpired(Entry& aEntry, bool aIsExpired);
  void ExpireIfNotRenewed(Entry& aEntry, Instant aNow);
  void ToggleDigest(const Entry& aEntry);
  bool IsSuperseded(const NodeRow& aRow) const;
  void Remove(RowMap::iterator aRow);
  bool EnsureCapacity();

  const HostName m_host;
  RowMap m_rows;
  std::map<Endpoint, HostName> m_byEndpoint;
  /** Hosts whose change is pending for gossip, with the remaining number of
      transmissions. */
  std::map<HostName, unsigned> m_pendingChanges;
  std::vector<HostName> m_liveHosts;
  BucketDigests m_digests{};
  Instant m_lastOutage;
  Instant m_lastChange;
  bool m_routesChanged = true;
  bool m_hasNameConflict = false;
};

}
