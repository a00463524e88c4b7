#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cr_membership/cr_membership.h"

namespace cr {

namespace {

constexpr std::uint16_t kPort = 1000;

NodeRow
MakeRow(const HostName& aHost,
        std::uint64_t aIncarnation,
        std::uint64_t aRevision,
        std::uint16_t aPort)
{
  return { aHost, Incarnation{ aIncarnation }, aRevision, "r",
           "a",   { "127.0.0.1", aPort },      "shop",    ServerState::Ready };
}

MembershipView
MakeView()
{
  return MembershipView(MakeRow("self", 1, 1, kPort));
}

Instant
At(std::int64_t aSeconds)
{
  return Instant(Seconds(aSeconds));
}

NodeTablePage
MakeWholeTablePage(std::vector<VersionedNodeRow> aRows)
{
  return { std::move(aRows), {}, {} };
}

/* Updates applied in any order and any number of times leave the newest row of
   each host, and a host's row never returns to an older one. */
RC_GTEST_PROP(MembershipViewProperty, NewestRowWinsInAnyOrder, ())
{
  const auto updates =
    *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
      rc::gen::inRange(0, 4), rc::gen::inRange(0, 4), rc::gen::inRange(0, 4)));
  MembershipView view = MakeView();
  std::map<HostName, std::pair<int, int>> newest;
  for (const auto& [number, incarnation, revision] : updates) {
    const HostName host = "host-" + std::to_string(number);
    auto& best = newest.try_emplace(host, -1, -1).first->second;
    best = std::max(best, std::pair(incarnation, revision));
    view.Update(MakeRow(host, incarnation, revision, kPort + 1 + number),
                RowSource::Change,
                At(1));
    const NodeRow* row = view.Find(host);
    RC_ASSERT(row != nullptr);
    RC_ASSERT(static_cast<int>(row->m_incarnation) == best.first);
    RC_ASSERT(static_cast<int>(row->m_revision) == best.second);
  }
}

/* Two views with the same rows have the same digests regardless of the order of
   the updates. The digests differ while one view lacks a row. */
RC_GTEST_PROP(MembershipViewProperty, DigestsAreEqualOnlyForEqualViews, ())
{
  const auto count = *rc::gen::inRange(1, 60);
  std::vector<NodeRow> rows;
  rows.reserve(static_cast<std::size_t>(count));
  for (int number = 0; number < count; ++number) {
    rows.push_back(MakeRow("host-" + std::to_string(number),
                           1,
                           static_cast<std::uint64_t>(number),
                           static_cast<std::uint16_t>(kPort + 1 + number)));
  }
  MembershipView first = MakeView();
  MembershipView second = MakeView();
  for (const NodeRow& row : rows) {
    first.Update(row, RowSource::Snapshot, At(1));
  }
  std::reverse(rows.begin(), rows.end());
  for (const NodeRow& row : rows) {
    RC_ASSERT(first.Digest() != second.Digest());
    second.Update(row, RowSource::Snapshot, At(1));
  }
  RC_ASSERT(first.Digests() == second.Digests());
  RC_ASSERT(first.Digest() == second.Digest());
}

TEST(MembershipView, UnrenewedRowExpiresAndStaysExpired)
{
  MembershipView view = MakeView();
  const VersionedNodeRow dead{ MakeRow("dead", 1, 1, kPort + 1), 7 };
  VersionedNodeRow alive{ MakeRow("alive", 1, 1, kPort + 2), 8 };
  for (int second = 0; second <= 120; second += 15) {
    alive.m_version = 100U + static_cast<RowVersion>(second);
    view.ApplyTablePage(MakeWholeTablePage({ alive, dead }), At(second));
  }
  EXPECT_EQ(view.Find("dead"), nullptr);
  EXPECT_NE(view.Find("alive"), nullptr);
  EXPECT_FALSE(view.Update(dead.m_row, RowSource::Change, At(130)));
  EXPECT_EQ(view.Find("dead"), nullptr);
  EXPECT_TRUE(
    view.Update(MakeRow("dead", 2, 0, kPort + 1), RowSource::Change, At(131)));
  EXPECT_NE(view.Find("dead"), nullptr);
}

TEST(MembershipView, NothingExpiresForALeaseAfterAnOutage)
{
  MembershipView view = MakeView();
  const VersionedNodeRow other{ MakeRow("other", 1, 1, kPort + 1), 7 };
  view.ApplyTablePage(MakeWholeTablePage({ other }), At(0));
  view.OnTableOutage(At(600));
  view.ApplyTablePage(MakeWholeTablePage({ other }), At(610));
  EXPECT_NE(view.Find("other"), nullptr);
  view.ApplyTablePage(MakeWholeTablePage({}), At(640));
  EXPECT_NE(view.Find("other"), nullptr);
  view.ApplyTablePage(MakeWholeTablePage({ other }), At(660));
  EXPECT_EQ(view.Find("other"), nullptr);
}

TEST(MembershipView, SuccessorAtTheSameAddressReplacesTheFormerHost)
{
  MembershipView view = MakeView();
  const NodeRow previous = MakeRow("former", 10, 5, kPort + 1);
  const NodeRow successor = MakeRow("successor", 20, 1, kPort + 1);
  view.Update(successor, RowSource::Change, At(1));
  view.Update(previous, RowSource::Change, At(2));
  EXPECT_EQ(view.Find("former"), nullptr);
  EXPECT_NE(view.Find("successor"), nullptr);

  MembershipView inOrder = MakeView();
  inOrder.Update(previous, RowSource::Change, At(1));
  inOrder.Update(successor, RowSource::Change, At(2));
  EXPECT_EQ(inOrder.Find("former"), nullptr);
  EXPECT_EQ(inOrder.Digests(), view.Digests());
}

TEST(MembershipView, ChangesAreGossipedABoundedNumberOfTimes)
{
  MembershipView view = MakeView();
  view.Update(MakeRow("other", 1, 1, kPort + 1), RowSource::Snapshot, At(1));
  unsigned transmits = 0;
  while (!view.TakePendingChanges(10).empty()) {
    ++transmits;
    ASSERT_LE(transmits, view.TransmitLimit());
  }
  EXPECT_GT(transmits, 0U);
  EXPECT_FALSE(view.SetServer("shop", ServerState::Ready, At(2)));
  EXPECT_FALSE(view.HasPendingChanges());
  EXPECT_TRUE(view.SetServer("shop", ServerState::Leaving, At(2)));
  EXPECT_TRUE(view.HasPendingChanges());
}

TEST(MembershipView, ManyChangesAtOnceAreNotAllGossiped)
{
  MembershipView view = MakeView();
  while (view.HasPendingChanges()) {
    view.TakePendingChanges(1);
  }
  for (std::uint16_t number = 1; number <= 1000; ++number) {
    view.Update(MakeRow("host-" + std::to_string(number), 1, 1, kPort + number),
                RowSource::Change,
                At(1));
  }
  EXPECT_TRUE(view.SetServer("shop", ServerState::Leaving, At(1)));
  const auto changes = view.TakePendingChanges(1000);
  EXPECT_LT(changes.size(), 100U);
  EXPECT_TRUE(
    std::any_of(changes.begin(), changes.end(), [](const NodeRow& aRow) {
      return aRow.m_host == "self";
    }));
}

TEST(MembershipView, DeadRowsAreRemovedFromTheTableByCondition)
{
  MembershipView view = MakeView();
  const VersionedNodeRow dead{ MakeRow("dead", 1, 1, kPort + 1), 7 };
  std::vector<RowCondition> expired;
  for (int second = 0; second < 3600; second += 100) {
    expired = view.ApplyTablePage(MakeWholeTablePage({ dead }), At(second));
    ASSERT_TRUE(expired.empty());
  }
  expired = view.ApplyTablePage(MakeWholeTablePage({ dead }), At(3600));
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(expired.front().m_row.m_key, "dead");
  EXPECT_EQ(expired.front().m_version, 7U);
}

}

}
