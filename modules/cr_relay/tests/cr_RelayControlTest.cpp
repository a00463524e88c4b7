#include <gtest/gtest.h>

#include "tests/cr_RelayTestNode.h"

namespace cr {

namespace {

/* A node before a platform that may refuse, lose answers or be late. */
struct Control : RelayTestNode
{
  /* Answers the calls that wait; watches without changes go on waiting. */
  void Answer()
  {
    for (int round = 0; round < 4; ++round) {
      std::vector<RelayCallStore> calls = Take<RelayCallStore>();
      calls.insert(calls.end(), m_watches.begin(), m_watches.end());
      m_watches.clear();
      for (const RelayCallStore& call : calls) {
        const StoreAnswer answer = m_platform.Execute(call.m_request);
        const auto* changes = std::get_if<RowChanges>(&answer);
        if (changes != nullptr && changes->m_changes.empty()) {
          m_watches.push_back(call);
        } else {
          Feed(RelayStoreAnswered{ call.m_id, answer });
        }
      }
    }
  }

  std::optional<NodeRow> OwnRow()
  {
    const auto found = std::get<RowFound>(
      m_platform.Execute(ReadRequest{ { std::string(kNodeTable), "host-1" } }));
    if (!found.m_row) {
      return std::nullopt;
    }
    return *DecodeNodeRow(found.m_row->m_value);
  }

  void Wait(Duration aTime)
  {
    m_now += aTime;
    Feed(RelayTimerDue{});
  }

  InProcessPlatform m_platform;
  std::vector<RelayCallStore> m_watches;
};

TEST(RelayControl, TheOwnRowFollowsTheServer)
{
  Control node;
  node.Announce(10);
  node.Answer();
  ASSERT_TRUE(node.OwnRow());
  EXPECT_EQ(node.OwnRow()->m_state, ServerState::Ready);
  node.Announce(10, 2, true);
  node.Answer();
  EXPECT_EQ(node.OwnRow()->m_state, ServerState::Leaving);
}

/* When a fleet starts, each row that says nothing would wake all others. */
TEST(RelayControl, AHostWithoutAServerWritesARowOnlyToCorrectOne)
{
  Control node;
  node.Answer();
  node.Wait(Milliseconds(100));
  node.Answer();
  EXPECT_FALSE(node.OwnRow());
  EXPECT_GT(node.m_decisions.NextWakeup(), node.m_now);
  node.m_platform.Execute(TransactRequest{
    {},
    { { { std::string(kNodeTable), "host-1" },
        EncodeNodeRow(RelayTestNode::ReadyRow("host-1", "orders")) } } });
  node.Answer();
  node.Wait(Milliseconds(100));
  node.Answer();
  ASSERT_TRUE(node.OwnRow());
  EXPECT_EQ(node.OwnRow()->m_state, ServerState::Absent);
}

TEST(RelayControl, InQuietNothingIsWritten)
{
  Control node;
  node.Announce(10);
  node.Answer();
  for (std::uint64_t beat = 2; beat < 40; ++beat) {
    node.Announce(10, beat);
    node.Wait(Milliseconds(1500));
    for (const auto& call : node.Take<RelayCallStore>()) {
      EXPECT_FALSE(std::holds_alternative<TransactRequest>(call.m_request));
    }
  }
}

TEST(RelayControl, ALostAnswerIsSettledByTheRowItself)
{
  Control node;
  node.Announce(10);
  node.Answer();
  node.Announce(10, 2, true);
  const auto calls = node.Take<RelayCallStore>();
  ASSERT_EQ(calls.size(), 1U);
  node.m_platform.Execute(calls[0].m_request);
  node.Feed(RelayStoreAnswered{ calls[0].m_id, StoreFailed{ "lost" } });
  node.Wait(Seconds(2));
  node.Answer();
  node.Wait(Seconds(2));
  node.Answer();
  EXPECT_EQ(node.OwnRow()->m_state, ServerState::Leaving);
}

TEST(RelayControl, AnOldWriteThatIsCarriedOutLateChangesNothing)
{
  Control node;
  node.Announce(10);
  std::vector<RelayCallStore> late;
  node.Answer();
  node.Announce(10, 2, true);
  late = node.Take<RelayCallStore>();
  ASSERT_EQ(late.size(), 1U);
  node.Feed(RelayStoreAnswered{ late[0].m_id, StoreFailed{ "lost" } });
  // The server starts again meanwhile.
  ServerAnnouncement again;
  again.m_id = "server-2";
  again.m_service = "orders";
  again.m_slots = 10;
  again.m_startTime = 2000;
  node.Feed(BackendAnnounced{ again });
  node.Wait(Seconds(2));
  node.Answer();
  EXPECT_EQ(node.OwnRow()->m_state, ServerState::Ready);
  EXPECT_TRUE(std::holds_alternative<ConditionFailed>(
    node.m_platform.Execute(late[0].m_request)));
  EXPECT_EQ(node.OwnRow()->m_state, ServerState::Ready);
}

TEST(RelayControl, ARowThatOthersRemovedIsWrittenAnew)
{
  Control node;
  node.Announce(10);
  node.Answer();
  node.m_platform.Execute(TransactRequest{
    {}, { { { std::string(kNodeTable), "host-1" }, std::nullopt } } });
  node.Answer();
  node.Wait(Seconds(4));
  node.Answer();
  EXPECT_TRUE(node.OwnRow());
}

TEST(RelayControl, RoutesNeverGoBackWhoeverOffersThem)
{
  Control node;
  node.AdoptRoutes(7, {});
  node.AdoptRoutes(5, { RelayTestNode::Route("old", true) });
  EXPECT_EQ(node.m_decisions.Routes()->Configuration().m_generation, 7U);
}

TEST(RelayControl, NewerRoutesAreAskedForAtTheNodeThatHasThem)
{
  Control node;
  node.AdoptRoutes(7, {});
  RelayActions actions;
  const Endpoint peer{ "host-2", 7000 };
  node.m_decisions.NoteGeneration(7, peer, node.m_now, actions);
  node.m_decisions.NoteGeneration(6, peer, node.m_now, actions);
  EXPECT_TRUE(actions.empty());
  node.m_decisions.NoteGeneration(8, peer, node.m_now, actions);
  node.m_decisions.NoteGeneration(8, peer, node.m_now, actions);
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<AskPeerRoutes>(actions[0]).m_peer, peer);
  node.Feed(PeerRoutesEnded{});
  node.m_now += Milliseconds(200);
  node.m_decisions.NoteGeneration(8, peer, node.m_now, actions);
  EXPECT_EQ(actions.size(), 2U);
}

TEST(RelayControl, AHostThatStaysAwayLosesItsRowAndOneThatIsBackKeepsIt)
{
  for (const bool isBack : { false, true }) {
    Control node;
    node.AdoptRoutes(1, { RelayTestNode::Route("status", true) });
    const NodeRow row = RelayTestNode::ReadyRow("host-2", "status");
    const RowKey key{ std::string(kNodeTable), "host-2" };
    node.m_platform.Execute(
      TransactRequest{ {}, { { key, EncodeNodeRow(row) } } });
    node.Answer();
    const CallId call = node.Request("/status/1");
    ASSERT_EQ(node.Take<ForwardRequest>().size(), 1U);
    node.Feed(ForwardFailed{ call, false, false });
    if (isBack) {
      const CallId again = node.Request("/status/1");
      ASSERT_EQ(node.Take<ForwardRequest>().size(), 1U);
      RelayReport report;
      report.m_outcome = Outcome::Completed;
      node.Feed(ForwardAnswered{ again, report });
    }
    node.Wait(Seconds(25));
    node.Answer();
    const auto found =
      std::get<RowFound>(node.m_platform.Execute(ReadRequest{ key }));
    EXPECT_EQ(found.m_row.has_value(), isBack);
  }
}

TEST(RelayControl, ReadyMeansThatFleetAndRoutesAreKnown)
{
  Control node;
  EXPECT_FALSE(node.m_decisions.IsReady());
  node.Wait(Milliseconds(1));
  node.Answer();
  EXPECT_FALSE(node.m_decisions.IsReady());
  node.AdoptRoutes(1, {});
  EXPECT_TRUE(node.m_decisions.IsReady());
}

}

}
