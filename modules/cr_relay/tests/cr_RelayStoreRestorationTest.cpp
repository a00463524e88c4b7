#include <gtest/gtest.h>

#include "tests/cr_RelayTestControl.h"

namespace cr {

namespace {

/* Incident CONFIG: the platform comes back from an older copy and gives
   versions out again. */
struct Restoration : RelayTestControl
{
  Restoration()
  {
    AdoptRoutes(2,
                { RelayTestNode::Route("orders", true),
                  RelayTestNode::Route("stock", true) });
    WriteRow("host-2", "orders");
    AnswerStoreCalls();
    m_platform.Save();
  }

  bool IsForwarded(const std::string& aTarget)
  {
    TakeActions<ForwardRequest>();
    Request(aTarget);
    return !TakeActions<ForwardRequest>().empty();
  }

  std::optional<ServerState> OwnState()
  {
    const auto row = OwnRow();
    return row ? std::optional(row->m_state) : std::nullopt;
  }
};

TEST(RelayStoreRestoration, VersionsGivenOutAgainHideNoRows)
{
  Restoration node;
  node.WriteRow("host-3", "orders");
  node.Run(Seconds(1));
  node.RestorePlatform();
  node.WriteRow("host-4", "stock");
  node.WriteRow("host-3", "orders");
  node.Run(Seconds(3));
  EXPECT_TRUE(node.IsForwarded("/stock/1"));
}

TEST(RelayStoreRestoration, OwnRowThatIsLostIsWrittenAgain)
{
  Restoration node;
  node.Announce(10);
  node.Run(Seconds(1));
  ASSERT_EQ(node.OwnState(), ServerState::Ready);
  node.RestorePlatform();
  node.WriteRow("host-3", "orders");
  node.WriteRow("host-4", "orders");
  node.Run(Seconds(5));
  EXPECT_EQ(node.OwnState(), ServerState::Ready);
}

TEST(RelayStoreRestoration, LeaveThatIsLostIsWrittenAgain)
{
  Restoration node;
  node.Announce(10);
  node.Run(Seconds(1));
  node.m_platform.Save();
  node.Announce(10, 2, true);
  node.Run(Seconds(1));
  ASSERT_EQ(node.OwnState(), ServerState::Leaving);
  node.RestorePlatform();
  ASSERT_EQ(node.OwnState(), ServerState::Ready);
  node.WriteRow("host-3", "orders");
  node.WriteRow("host-4", "orders");
  node.Run(Seconds(5));
  EXPECT_EQ(node.OwnState(), ServerState::Leaving);
}

/* DRAIN: the table that the node has in memory still shows the departure. */
TEST(RelayStoreRestoration, LostLeaveIsAcknowledgedOnceItIsWrittenAgain)
{
  Restoration node;
  node.Announce(10);
  node.Run(Seconds(1));
  node.m_platform.Save();
  std::uint64_t sequence = 2;
  node.Announce(10, sequence, true);
  node.Run(Seconds(1));
  node.RestorePlatform();
  bool isRestorationKnown = false;
  int acknowledged = 0;
  node.CountLogLines("store-era");
  for (int step = 0; step < 200; ++step) {
    isRestorationKnown |= node.CountLogLines("store-era") > 0;
    node.TakeActions<AnswerServer>();
    node.Announce(10, ++sequence, true);
    for (const AnswerServer& answer : node.TakeActions<AnswerServer>()) {
      if (isRestorationKnown && answer.m_isAcknowledged) {
        EXPECT_EQ(node.OwnState(), ServerState::Leaving) << step;
        ++acknowledged;
      }
    }
    node.AdvanceTime(Milliseconds(20));
    node.AnswerStoreCalls();
  }
  EXPECT_GT(acknowledged, 0);
}

/* The nodes of these rows need a moment to write them again. */
TEST(RelayStoreRestoration, HostsWhoseRowsAreLostStayInUse)
{
  Restoration node;
  node.WriteRow("host-3", "stock");
  node.Run(Seconds(1));
  node.RestorePlatform();
  node.Run(Seconds(3));
  EXPECT_TRUE(node.IsForwarded("/stock/1"));
  // host-3 is gone for good.
  node.Run(Seconds(40));
  EXPECT_FALSE(node.IsForwarded("/stock/1"));
}

TEST(RelayStoreRestoration, LeaveOfAnotherHostIsNotUndone)
{
  Restoration node;
  node.WriteRow("host-3", "stock");
  node.Run(Seconds(1));
  node.m_platform.Save();
  NodeRow row = RelayTestNode::ReadyRow("host-3", "stock");
  row.m_state = ServerState::Leaving;
  ++row.m_revision;
  node.m_platform.Execute(TransactRequest{
    {}, { { { std::string(kNodeTable), "host-3" }, EncodeNodeRow(row) } } });
  node.Run(Seconds(1));
  ASSERT_FALSE(node.IsForwarded("/stock/1"));
  node.RestorePlatform();
  node.Run(Seconds(3));
  EXPECT_FALSE(node.IsForwarded("/stock/1"));
}

/* A watch sent in the new era with a version of the former one may stay pending
   for many seconds. */
TEST(RelayStoreRestoration, APendingWatchDoesNotDelayTheNextScan)
{
  Restoration node;
  node.Announce(10);
  node.Run(Seconds(1));
  node.m_platform.Restore();
  node.WriteRow("host-4", "stock");
  node.WriteRow("host-3", "orders");
  // The answer to the write of the own row names the new era; the watches of
  // both tables are not answered.
  const auto watches = std::exchange(node.m_watches, {});
  ASSERT_EQ(watches.size(), 2U);
  node.Announce(10, 2, true);
  node.Run(Seconds(3));
  EXPECT_TRUE(node.IsForwarded("/stock/1"));
  EXPECT_EQ(node.OwnState(), ServerState::Leaving);
}

/* Its condition may hold, because the version is given out again. */
TEST(RelayStoreRestoration, WriteOfAnEarlierEraThatExecutesLateIsCorrected)
{
  Restoration node;
  node.Announce(10);
  node.Run(Seconds(1));
  node.Announce(10, 2, true);
  const auto late = node.TakeActions<RelayCallStore>();
  ASSERT_EQ(late.size(), 1U);
  const auto version =
    std::get<TransactRequest>(late[0].m_request).m_conditions.at(0).m_version;
  node.Feed(RelayStoreAnswered{ late[0].m_id, StoreFailed{ "lost" } });
  node.RestorePlatform();
  ServerAnnouncement again;
  again.m_id = "server-2";
  again.m_service = "orders";
  again.m_slots = 10;
  again.m_startTime = 2000;
  node.Feed(BackendAnnounced{ again });
  node.Run(Seconds(5));
  const auto found = std::get<RowFound>(node.m_platform.Execute(
    ReadRequest{ { std::string(kNodeTable), "host-1" } }));
  ASSERT_TRUE(found.m_row);
  EXPECT_EQ(found.m_row->m_version, version);
  EXPECT_TRUE(std::holds_alternative<Committed>(
    node.m_platform.Execute(late[0].m_request)));
  EXPECT_EQ(node.OwnState(), ServerState::Leaving);
  node.Run(Seconds(5));
  EXPECT_EQ(node.OwnState(), ServerState::Ready);
}

/* A node that starts after the restoration, before the operator has written the
   configuration again. */
TEST(RelayStoreRestoration, StartedNodeDoesNotUseAnOlderConfigurationThanOthers)
{
  RelayTestControl node;
  node.WriteRow("host-2", "orders");
  node.m_platform.Execute(
    TransactRequest{ {}, { { { "routes", "all" }, "the older one" } } });
  node.Run(Seconds(1));
  const auto fetches = node.TakeActions<FetchPeerRoutes>();
  ASSERT_EQ(fetches.size(), 1U);
  EXPECT_EQ(fetches[0].m_peer, RelayTestNode::PeerOf("host-2"));
  EXPECT_TRUE(node.TakeActions<ReadRoutes>().empty());
  EXPECT_FALSE(node.m_decisions.IsReady());
  node.AdoptRoutes(2, {});
  node.Feed(PeerRoutesFetched{ true });
  EXPECT_EQ(node.TakeActions<ReadRoutes>().size(), 1U);
  EXPECT_TRUE(node.m_decisions.IsReady());
}

TEST(RelayStoreRestoration, StartedNodeUsesThePlatformIfNoOtherNodeAnswers)
{
  RelayTestControl node;
  node.WriteRow("host-2", "orders");
  node.WriteRow("host-3", "orders");
  node.m_platform.Execute(
    TransactRequest{ {}, { { { "routes", "all" }, "the only one" } } });
  std::vector<Endpoint> asked;
  for (int round = 0; round < 4; ++round) {
    node.Run(Seconds(1));
    for (const FetchPeerRoutes& fetch : node.TakeActions<FetchPeerRoutes>()) {
      asked.push_back(fetch.m_peer);
      node.Feed(PeerRoutesFetched{ false });
    }
  }
  ASSERT_EQ(asked.size(), 2U);
  EXPECT_NE(asked[0], asked[1]);
  EXPECT_EQ(node.TakeActions<ReadRoutes>().size(), 1U);
}

TEST(RelayStoreRestoration, LateAnswerOfTheFormerEraIsNotUsed)
{
  Restoration node;
  node.WriteRow("host-3", "stock");
  const auto watches = std::exchange(node.m_watches, {});
  std::vector<StoreAnswer> answers;
  answers.reserve(watches.size());
  for (const RelayCallStore& watch : watches) {
    answers.push_back(node.m_platform.Execute(watch.m_request));
  }
  node.m_platform.Restore();
  node.Announce(10);
  node.Run(Seconds(2));
  for (std::size_t index = 0; index < watches.size(); ++index) {
    node.Feed(RelayStoreAnswered{ watches[index].m_id, answers[index], 1 });
  }
  node.Run(Seconds(2));
  EXPECT_FALSE(node.IsForwarded("/stock/1"));
  node.WriteRow("host-4", "stock");
  node.Run(Seconds(1));
  EXPECT_TRUE(node.IsForwarded("/stock/1"));
}

}

}
