#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <utility>

#include "tests/cr_RelayTestControl.h"

namespace cr {

namespace {

using Control = RelayTestControl;

TEST(RelayControlFlow, OwnRowReflectsTheServerState)
{
  Control node;
  node.Announce(10);
  node.AnswerStoreCalls();
  ASSERT_TRUE(node.OwnRow());
  EXPECT_EQ(node.OwnRow()->m_state, ServerState::Ready);
  node.Announce(10, 2, true);
  node.AnswerStoreCalls();
  EXPECT_EQ(node.OwnRow()->m_state, ServerState::Leaving);
}

/* DRAIN: a node that ends after the acknowledgement must have left its
   successor a record of the departure. */
TEST(RelayControlFlow, LeaveIsAcknowledgedOnceThePlatformHasStoredIt)
{
  Control node;
  node.Announce(10);
  node.AnswerStoreCalls();
  ASSERT_EQ(node.TakeActions<AnswerServer>().size(), 1U);
  node.Announce(10, 2, true);
  EXPECT_TRUE(node.TakeActions<AnswerServer>().empty());
  node.AnswerStoreCalls();
  const auto answers = node.TakeActions<AnswerServer>();
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_TRUE(answers[0].m_isAcknowledged);
  EXPECT_EQ(node.OwnRow()->m_departure, (ServerStart{ "server-1", 1000 }));
  // A repetition changes nothing and is answered at once.
  node.Announce(10, 3, true);
  EXPECT_EQ(node.TakeActions<AnswerServer>().size(), 1U);
}

/* DRAIN: the platform does not answer. */
TEST(RelayControlFlow, LeaveThatThePlatformDoesNotStoreIsNotAcknowledged)
{
  Control node;
  node.Announce(10);
  node.AnswerStoreCalls();
  node.TakeActions<AnswerServer>();
  node.Announce(10, 2, true);
  ASSERT_LE(node.m_decisions.NextWakeup(), node.m_now + Milliseconds(800));
  node.m_now = node.m_decisions.NextWakeup();
  while (node.m_now < Instant(Seconds(101))) {
    node.Feed(RelayTimerDue{});
    node.m_now += Milliseconds(50);
  }
  const auto answers = node.TakeActions<AnswerServer>();
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_FALSE(answers[0].m_isAcknowledged);
  node.AnswerStoreCalls();
  node.Announce(10, 3, true);
  const auto later = node.TakeActions<AnswerServer>();
  ASSERT_EQ(later.size(), 1U);
  EXPECT_TRUE(later[0].m_isAcknowledged);
}

/* The answer to the write is lost, but the table shows the row. */
TEST(RelayControlFlow, LeaveInTheTableIsAcknowledgedThoughTheWriteHasNoAnswer)
{
  Control node;
  node.Announce(10);
  node.AnswerStoreCalls();
  node.TakeActions<AnswerServer>();
  node.Announce(10, 2, true);
  const auto calls = node.TakeActions<RelayCallStore>();
  ASSERT_EQ(calls.size(), 1U);
  node.m_platform.Execute(calls[0].m_request);
  node.AnswerStoreCalls();
  const auto answers = node.TakeActions<AnswerServer>();
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_TRUE(answers[0].m_isAcknowledged);
}

/* While a fleet starts, every row without a backend server would be an update
   for all other nodes, without use. */
TEST(RelayControlFlow, HostWithoutAServerWritesItsRowOnlyToCorrectIt)
{
  Control node;
  node.AnswerStoreCalls();
  node.AdvanceTime(Milliseconds(100));
  node.AnswerStoreCalls();
  EXPECT_FALSE(node.OwnRow());
  EXPECT_GT(node.m_decisions.NextWakeup(), node.m_now);
  node.m_platform.Execute(TransactRequest{
    {},
    { { { std::string(kNodeTable), "host-1" },
        EncodeNodeRow(RelayTestNode::ReadyRow("host-1", "orders")) } } });
  node.AnswerStoreCalls();
  node.AdvanceTime(Milliseconds(100));
  node.AnswerStoreCalls();
  ASSERT_TRUE(node.OwnRow());
  EXPECT_EQ(node.OwnRow()->m_state, ServerState::Absent);
}

TEST(RelayControlFlow, NothingIsWrittenWithoutChanges)
{
  Control node;
  node.Announce(10);
  node.AnswerStoreCalls();
  for (std::uint64_t beat = 2; beat < 40; ++beat) {
    node.Announce(10, beat);
    node.AdvanceTime(Milliseconds(1500));
    for (const auto& call : node.TakeActions<RelayCallStore>()) {
      EXPECT_FALSE(std::holds_alternative<TransactRequest>(call.m_request));
    }
  }
}

TEST(RelayControlFlow, LostWriteAnswerIsResolvedByReadingTheRow)
{
  Control node;
  node.Announce(10);
  node.AnswerStoreCalls();
  node.Announce(10, 2, true);
  const auto calls = node.TakeActions<RelayCallStore>();
  ASSERT_EQ(calls.size(), 1U);
  node.m_platform.Execute(calls[0].m_request);
  node.Feed(RelayStoreAnswered{ calls[0].m_id, StoreFailed{ "lost" } });
  node.AdvanceTime(Seconds(2));
  node.AnswerStoreCalls();
  node.AdvanceTime(Seconds(2));
  node.AnswerStoreCalls();
  EXPECT_EQ(node.OwnRow()->m_state, ServerState::Leaving);
}

TEST(RelayControlFlow, DelayedWriteHasNoEffect)
{
  Control node;
  node.Announce(10);
  std::vector<RelayCallStore> late;
  node.AnswerStoreCalls();
  node.Announce(10, 2, true);
  late = node.TakeActions<RelayCallStore>();
  ASSERT_EQ(late.size(), 1U);
  node.Feed(RelayStoreAnswered{ late[0].m_id, StoreFailed{ "lost" } });
  // The server restarts meanwhile.
  ServerAnnouncement again;
  again.m_id = "server-2";
  again.m_service = "orders";
  again.m_slots = 10;
  again.m_startTime = 2000;
  node.Feed(BackendAnnounced{ again });
  node.AdvanceTime(Seconds(2));
  node.AnswerStoreCalls();
  EXPECT_EQ(node.OwnRow()->m_state, ServerState::Ready);
  EXPECT_TRUE(std::holds_alternative<ConditionFailed>(
    node.m_platform.Execute(late[0].m_request)));
  EXPECT_EQ(node.OwnRow()->m_state, ServerState::Ready);
}

TEST(RelayControlFlow, RowRemovedByOthersIsWrittenAgain)
{
  Control node;
  node.Announce(10);
  node.AnswerStoreCalls();
  node.m_platform.Execute(TransactRequest{
    {}, { { { std::string(kNodeTable), "host-1" }, std::nullopt } } });
  node.AnswerStoreCalls();
  node.AdvanceTime(Seconds(4));
  node.AnswerStoreCalls();
  EXPECT_TRUE(node.OwnRow());
}

TEST(RelayControlFlow, OlderRoutesAreRejected)
{
  Control node;
  node.AdoptRoutes(7, {});
  node.AdoptRoutes(5, { RelayTestNode::Route("old", true) });
  EXPECT_EQ(node.m_decisions.Routes()->Configuration().m_generation, 7U);
}

TEST(RelayControlFlow, NewerRoutesAreFetchedFromTheNodeThatReportsThem)
{
  Control node;
  node.AdoptRoutes(7, {});
  RelayActions actions;
  const Endpoint peer{ "host-2", 7000 };
  node.m_decisions.OnPeerGeneration(7, peer, node.m_now, actions);
  node.m_decisions.OnPeerGeneration(6, peer, node.m_now, actions);
  EXPECT_TRUE(actions.empty());
  node.m_decisions.OnPeerGeneration(8, peer, node.m_now, actions);
  node.m_decisions.OnPeerGeneration(8, peer, node.m_now, actions);
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<FetchPeerRoutes>(actions[0]).m_peer, peer);
  node.Feed(PeerRoutesFetched{});
  node.m_now += Milliseconds(200);
  node.m_decisions.OnPeerGeneration(8, peer, node.m_now, actions);
  EXPECT_EQ(actions.size(), 2U);
}

/* Incident CONFIG: requests stayed within a data centre whose nodes could not
   reach the platform, so none of them heard of a newer generation. */
TEST(RelayControlFlow, RoutesAreLearnedFromNodesToWhichNoRequestGoes)
{
  Control node;
  node.AdoptRoutes(7, {});
  node.WriteRow("host-2", "orders");
  node.WriteRow("host-3", "stock");
  node.Run(Seconds(1));
  std::set<Endpoint> asked;
  std::size_t count = 0;
  for (int second = 0; second < 30; ++second) {
    node.Run(Seconds(1));
    for (const FetchPeerRoutes& fetch : node.TakeActions<FetchPeerRoutes>()) {
      EXPECT_EQ(fetch.m_newerThan, 7U);
      asked.insert(fetch.m_peer);
      ++count;
      node.Feed(PeerRoutesFetched{ true });
    }
  }
  EXPECT_EQ(asked.size(), 2U);
  EXPECT_GE(count, 20U);
  EXPECT_LE(count, 40U);
}

/* A platform falls silent: the watch of one table ends with its connection,
   that of the other was sent a moment later and gets no answer at all. */
TEST(RelayControlFlow, WatchSentIntoAnOutageIsRepeatedWhenThePlatformAnswers)
{
  Control node;
  node.AdoptRoutes(1, { RelayTestNode::Route("stock", true) });
  node.Run(Seconds(1));
  ASSERT_EQ(node.m_watches.size(), 2U);
  const auto watches = std::exchange(node.m_watches, {});
  const auto routes =
    std::find_if(watches.begin(), watches.end(), [](const auto& aCall) {
      return std::get<WatchRequest>(aCall.m_request).m_table == "routes";
    });
  node.m_now += Seconds(1);
  node.Feed(RelayStoreAnswered{ routes->m_id, StoreFailed{ "reset" } });
  node.Run(Seconds(1));
  node.WriteRow("host-2", "stock");
  // Any change of the routes lets the platform answer.
  node.m_platform.Execute(
    TransactRequest{ {}, { { { "routes", "all" }, "document" } } });
  node.Run(Seconds(1));
  node.Request("/stock/1");
  EXPECT_EQ(node.TakeActions<ForwardRequest>().size(), 1U);
}

TEST(RelayControlFlow, RowIsRemovedOnlyIfTheHostStaysUnreachable)
{
  for (const bool isBack : { false, true }) {
    Control node;
    node.AdoptRoutes(1, { RelayTestNode::Route("status", true) });
    const NodeRow row = RelayTestNode::ReadyRow("host-2", "status");
    const RowKey key{ std::string(kNodeTable), "host-2" };
    node.m_platform.Execute(
      TransactRequest{ {}, { { key, EncodeNodeRow(row) } } });
    node.AnswerStoreCalls();
    const CallId call = node.Request("/status/1");
    ASSERT_EQ(node.TakeActions<ForwardRequest>().size(), 1U);
    node.Feed(ForwardFailed{ call, false, false });
    if (isBack) {
      const CallId again = node.Request("/status/1");
      ASSERT_EQ(node.TakeActions<ForwardRequest>().size(), 1U);
      RelayReport report;
      report.m_outcome = Outcome::Completed;
      node.Feed(ForwardAnswered{ again, report });
    }
    node.AdvanceTime(Seconds(25));
    node.AnswerStoreCalls();
    const auto found =
      std::get<RowFound>(node.m_platform.Execute(ReadRequest{ key }));
    EXPECT_EQ(found.m_row.has_value(), isBack);
  }
}

/* DRAIN: a request was on its way when the node ended. Its next process needs
   the row, whenever it starts. */
TEST(RelayControlFlow, RowWithADepartureIsNotRemoved)
{
  Control node;
  node.AdoptRoutes(1, { RelayTestNode::Route("status", true) });
  node.WriteRow("host-2", "status");
  node.AnswerStoreCalls();
  const CallId call = node.Request("/status/1");
  ASSERT_EQ(node.TakeActions<ForwardRequest>().size(), 1U);
  NodeRow row = RelayTestNode::ReadyRow("host-2", "status");
  row.m_state = ServerState::Leaving;
  row.m_departure = ServerStart{ "server-2", 1000 };
  const RowKey key{ std::string(kNodeTable), "host-2" };
  node.m_platform.Execute(
    TransactRequest{ {}, { { key, EncodeNodeRow(row) } } });
  node.AnswerStoreCalls();
  node.Feed(ForwardFailed{ call, false, false });
  node.AdvanceTime(Seconds(25));
  node.AnswerStoreCalls();
  EXPECT_TRUE(
    std::get<RowFound>(node.m_platform.Execute(ReadRequest{ key })).m_row);
}

TEST(RelayControlFlow, ReadyOnceFleetAndRoutesAreLoaded)
{
  Control node;
  EXPECT_FALSE(node.m_decisions.IsReady());
  node.AdvanceTime(Milliseconds(1));
  node.AnswerStoreCalls();
  EXPECT_FALSE(node.m_decisions.IsReady());
  node.AdoptRoutes(1, {});
  EXPECT_TRUE(node.m_decisions.IsReady());
}

}

}
