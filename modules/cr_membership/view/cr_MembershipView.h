#pragma once

#include <array>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "cr_membership/rows/cr_NodeRow.h"

namespace cr {

/** Number of buckets that rows fall into by host, to compare two views. */
inline constexpr std::size_t kBucketCount = 64;

/** Digest of the rows of each bucket. */
using BucketDigests = std::array<std::uint32_t, kBucketCount>;

/** A row of the node table with the version that the table gave it. */
struct ObservedRow
{
  NodeRow m_row;
  RowVersion m_version = 0;
};

/** A part of the node table, in key order. */
struct ObservedPage
{
  std::vector<ObservedRow> m_rows;
  /** The page holds every row with a key greater than this. */
  std::string m_after;
  /** And not greater than this; empty when it reaches the table's end. */
  std::string m_last;
};

/** How a row came to this node. */
enum class RowSource : std::uint8_t
{
  /** Among changes; it is told on, unless many changes wait already. Then the
      digests and the table make up for it. */
  News,
  /** In a copy; others have it already. */
  Copy
};

/** All nodes that a node knows, the newest row of each host.

    A row of an older incarnation or revision never replaces a newer one. A row
    lapses when reads of the table over the lease show no renewal: the table's
    row versions are compared, never the clocks of two hosts, and an outage of
    the table starts the lease anew. Lapsed rows get no work and are remembered,
    so a late rumour does not revive them.

    Changes are handed out for a number of rumours that grows with the logarithm
    of the number of nodes, as in SWIM (Das, Gupta, Motivala, 2002). Digests by
    bucket let two views find what they lack in each other.

    Not thread safe. */
class MembershipView
{
public:
  /** Starts with the own row as news. */
  explicit MembershipView(const NodeRow& aOwn);

  //==========================================================================
  /** Changes the own row. Returns whether it differs from before; its revision
      is then raised. */
  bool SetServer(const std::string& aService, ServerState aState, Instant aNow);

  /** Takes in a row that another node told. Returns whether it is news. At the
      limit of rows an unknown host is ignored. */
  bool Learn(const NodeRow& aRow, RowSource aSource, Instant aNow);

  /** Takes in a row that came from its own node, which therefore lives. */
  bool Hear(const NodeRow& aSender, Instant aNow);

  /** Takes in a page of the table: learns its rows, and lapses those of its
      range that nobody renewed. Returns conditions on rows that nobody renewed
      for so long that they are to be removed from the table. */
  std::vector<RowCondition> Observe(const ObservedPage& aPage, Instant aNow);

  /** The table did not answer: nothing lapses for a whole lease from now. */
  void ReportOutage(Instant aNow);

  /** Returns at most aLimit changes to be told, and counts them as told once
      more. */
  std::vector<NodeRow> TakeNews(std::size_t aLimit);

  /** Returns whether the hosts that take work changed since the last call. */
  bool TakeRoutesChanged();

  //==========================================================================
  /** Returns the own row. */
  const NodeRow& Own() const { return m_rows.at(m_host).m_row; }

  /** Returns whether changes wait to be told. */
  bool HasNews() const { return !m_news.empty(); }

  /** Returns the last time at which a row changed. */
  Instant LastChange() const { return m_lastChange; }

  /** Returns the number of rows that have not lapsed. */
  std::size_t Size() const { return m_live.size(); }

  /** Returns the hosts that have not lapsed, the own one included. */
  std::span<const HostName> Hosts() const { return m_live; }

  /** Returns the row of the host; null when unknown or lapsed. */
  const NodeRow* Find(const HostName& aHost) const;

  /** Returns all rows that have not lapsed. */
  std::vector<NodeRow> All() const;

  /** Returns the rows of a bucket that have not lapsed. */
  std::vector<NodeRow> RowsOf(std::size_t aBucket) const;

  /** Returns the digests of all buckets. */
  const BucketDigests& Digests() const { return m_digests; }

  /** Returns one digest of all rows. */
  std::uint32_t Digest() const;

  /** Returns the number of rumours in which a change is told. */
  unsigned Tellings() const;

  /** Returns whether the table has a later incarnation of the own host: two
      processes run under one name. */
  bool HasRival() const { return m_hasRival; }

private:
  struct Entry
  {
    NodeRow m_row;
    RowVersion m_version = 0;
    /** Since when this version, or no row, is seen in the table. */
    Instant m_unchangedSince;
    bool m_lapsed = false;
  };

  using RowMap = std::map<HostName, Entry>;

  void Put(const NodeRow& aRow, RowSource aSource, Instant aNow);
  void Renew(Entry& aEntry, Instant aNow);
  void Displace(const NodeRow& aRow);
  void ObserveRow(const ObservedRow& aObserved, Instant aNow);
  void ForgetMissing(const ObservedPage& aPage, Instant aNow);
  Duration UnchangedFor(const Entry& aEntry, Instant aNow) const;
  void SetLapsed(Entry& aEntry, bool aLapsed);
  void LapseIfUnrenewed(Entry& aEntry, Instant aNow);
  void Toggle(const Entry& aEntry);
  bool IsDisplaced(const NodeRow& aRow) const;
  void Forget(RowMap::iterator aRow);
  bool MakeRoom();

  const HostName m_host;
  RowMap m_rows;
  std::map<Endpoint, HostName> m_byEndpoint;
  /** Hosts whose change is told, with the times that remain. */
  std::map<HostName, unsigned> m_news;
  std::vector<HostName> m_live;
  BucketDigests m_digests{};
  Instant m_lastOutage;
  Instant m_lastChange;
  bool m_routesChanged = true;
  bool m_hasRival = false;
};

}
