#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "tests/cr_RelayTestNode.h"

namespace cr {

namespace {

struct Gate : RelayTestNode
{
  explicit Gate(std::uint32_t aSlots)
  {
    AdoptRoutes(1, { Route("orders", true) });
    Announce(aSlots);
    Take<RelayCallStore>();
  }

  RelayReport OneReport()
  {
    const auto answers = Take<AnswerPeer>();
    EXPECT_EQ(answers.size(), 1U);
    return answers.empty() ? RelayReport{} : answers.front().m_report;
  }
};

TEST(RelayGate, HandsOverUpToAPartOfTheSlotsAndTheRestInTurn)
{
  Gate node(25);
  const CallId first = node.PeerRequest(true);
  for (int call = 1; call < 30; ++call) {
    node.PeerRequest(true);
  }
  EXPECT_EQ(node.Take<HandOverRequest>().size(), 23U);
  node.Feed(HandOverEnded{ first, ServerVerdict::Answered });
  const auto next = node.Take<HandOverRequest>();
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].m_server, "server-1");
  EXPECT_EQ(node.OneReport().m_outcome, Outcome::Completed);
}

TEST(RelayGate, AfterAnAcknowledgedLeaveNothingIsHandedOver)
{
  Gate node(2);
  const CallId running = node.PeerRequest(true);
  const CallId waiting = node.PeerRequest(true);
  node.Take<HandOverRequest>();
  node.Announce(2, 2, true);
  const RelayReport refused = node.OneReport();
  EXPECT_EQ(refused.m_outcome, Outcome::NotRun);
  EXPECT_EQ(refused.m_reason, Reason::Leaving);
  node.PeerRequest(true);
  EXPECT_EQ(node.OneReport().m_reason, Reason::Leaving);
  node.Announce(2, 3, false);
  node.PeerRequest(true);
  node.Feed(HandOverEnded{ running, ServerVerdict::Answered });
  EXPECT_TRUE(node.Take<HandOverRequest>().empty());
  EXPECT_EQ(node.Take<AnswerPeer>().size(), 2U);
  static_cast<void>(waiting);
}

TEST(RelayGate, EachEndAtTheServerIsReportedAsWhatItProves)
{
  const std::vector<std::tuple<ServerVerdict, Outcome, bool>> cases = {
    { ServerVerdict::Answered, Outcome::Completed, true },
    { ServerVerdict::AnsweredError, Outcome::Completed, true },
    { ServerVerdict::RefusedNotRun, Outcome::NotRun, true },
    { ServerVerdict::WrongServer, Outcome::NotRun, false },
    { ServerVerdict::Unreachable, Outcome::NotRun, false },
    { ServerVerdict::Broken, Outcome::Unknown, true },
    { ServerVerdict::TimedOut, Outcome::Unknown, true },
  };
  for (const auto& [verdict, outcome, hasReached] : cases) {
    Gate node(10);
    node.Feed(HandOverEnded{ node.PeerRequest(false), verdict });
    const RelayReport report = node.OneReport();
    EXPECT_EQ(report.m_outcome, outcome) << ToText(verdict);
    EXPECT_EQ(report.m_hasReached, hasReached) << ToText(verdict);
  }
}

TEST(RelayGate, ASenderThatLeavesEndsWhatMayRunAgainAndNothingElse)
{
  Gate node(1);
  const CallId unsafe = node.PeerRequest(false);
  const CallId waiting = node.PeerRequest(false);
  node.Take<HandOverRequest>();
  node.Feed(SenderGone{ unsafe });
  node.Feed(SenderGone{ waiting });
  EXPECT_TRUE(node.Take<CancelServerRequest>().empty());
  node.Feed(HandOverEnded{ unsafe, ServerVerdict::Answered });
  EXPECT_TRUE(node.Take<HandOverRequest>().empty());
  EXPECT_TRUE(node.Take<AnswerPeer>().empty());
  const CallId safe = node.PeerRequest(true);
  node.Feed(SenderGone{ safe });
  EXPECT_EQ(node.Take<CancelServerRequest>().size(), 1U);
}

/* As on days with scale_in: what runs when a server leaves ends under a limit
   of none. */
TEST(RelayGate, AClosedGateTellsNoLoad)
{
  Gate node(25);
  const CallId first = node.PeerRequest(true);
  const CallId second = node.PeerRequest(true);
  const CallId third = node.PeerRequest(true);
  for (int call = 3; call < 20; ++call) {
    node.PeerRequest(true);
  }
  node.m_now += Milliseconds(50);
  node.Feed(HandOverEnded{ first, ServerVerdict::Answered });
  for (int call = 0; call < 20; ++call) {
    node.PeerRequest(true);
  }
  node.Take<AnswerPeer>();
  node.Feed(HandOverEnded{ second, ServerVerdict::Answered });
  EXPECT_GT(node.OneReport().m_gateLoad, 0);
  node.Announce(25, 2, true);
  node.Take<AnswerPeer>();
  node.Feed(HandOverEnded{ third, ServerVerdict::Answered });
  EXPECT_EQ(node.OneReport().m_gateLoad, 0);
}

/* As on days of high load: all rates are steady, calls wait long, and the
   requests of one route end before any call could. */
TEST(RelayGate, LoadBelowIsNotLaidToRequestsThatMakeNoCalls)
{
  Gate node(200);
  node.AdoptRoutes(2,
                   { RelayTestNode::Route("orders", true),
                     RelayTestNode::Route("prices", true) });
  node.AdoptNodes("prices", { "host-2", "host-3" });
  RelayReport busy;
  busy.m_outcome = Outcome::Completed;
  busy.m_hasReached = true;
  busy.m_isCalledRoute = true;
  busy.m_pathLoad = 3;
  const auto end = [&](CallId aCall) {
    node.Feed(HandOverEnded{ aCall, ServerVerdict::Answered });
    return node.OneReport().m_pathLoad;
  };
  double cheapLoad = 0;
  double dearLoad = 0;
  for (int window = 0; window < 60; ++window) {
    std::vector<CallId> cheap;
    std::vector<CallId> dear;
    std::vector<CallId> calls;
    for (int count = 0; count < 5; ++count) {
      cheap.push_back(node.PeerRequest(true, Seconds(1), "route-cheap"));
      dear.push_back(node.PeerRequest(true, Seconds(1), "route-dear"));
      calls.push_back(node.Request("/prices/1"));
    }
    node.m_now += Milliseconds(50);
    for (const CallId call : cheap) {
      cheapLoad = end(call);
    }
    node.m_now += Milliseconds(100);
    for (const CallId call : calls) {
      node.Feed(ForwardAnswered{ call, busy });
    }
    node.m_now += Milliseconds(100);
    for (const CallId call : dear) {
      dearLoad = end(call);
    }
  }
  EXPECT_GT(dearLoad, 2);
  EXPECT_LT(cheapLoad, 1);
}

TEST(RelayGate, AServerThatNobodyFindsIsAbsentUntilItIsHeardOf)
{
  Gate node(10);
  for (int call = 0; call < 6; ++call) {
    node.Feed(
      HandOverEnded{ node.PeerRequest(true), ServerVerdict::Unreachable });
  }
  node.Take<AnswerPeer>();
  node.PeerRequest(true);
  EXPECT_EQ(node.OneReport().m_reason, Reason::NoServer);
  EXPECT_EQ(node.Take<AskHealth>().size(), 1U);
  node.Feed(HealthAnswered{ false, {}, 0 });
  node.m_now += Seconds(1);
  node.Feed(RelayTimerDue{});
  EXPECT_EQ(node.Take<AskHealth>().size(), 1U);
  node.Feed(HealthAnswered{ true, "server-1", 10 });
  node.Take<HandOverRequest>();
  node.PeerRequest(true);
  EXPECT_EQ(node.Take<HandOverRequest>().size(), 1U);
}

TEST(RelayGate, AnotherServerAtTheAddressIsAskedForItsName)
{
  Gate node(10);
  node.Feed(
    HandOverEnded{ node.PeerRequest(true), ServerVerdict::WrongServer });
  EXPECT_EQ(node.Take<AskHealth>().size(), 1U);
  node.Feed(HealthAnswered{ true, "server-2", 10 });
  node.Take<HandOverRequest>();
  node.PeerRequest(true);
  EXPECT_EQ(node.Take<HandOverRequest>().at(0).m_server, "server-2");
}

TEST(RelayGate, ARestartedNodeServesOnceTheHealthPathNamesTheServer)
{
  RelayTestNode node;
  node.PeerRequest(true);
  EXPECT_EQ(node.Take<AnswerPeer>().size(), 1U);
  node.AdoptRoutes(1, { RelayTestNode::Route("orders", true) });
  ASSERT_EQ(node.Take<AskHealth>().size(), 1U);
  node.Feed(HealthAnswered{ true, "server-1", 4 });
  node.PeerRequest(true);
  EXPECT_EQ(node.Take<HandOverRequest>().size(), 1U);
}

TEST(RelayGate, OrderedToEndItRefusesOthersAndFinishesWhatRuns)
{
  Gate node(10);
  const CallId running = node.PeerRequest(true);
  node.Feed(RelayShutdownAsked{});
  node.PeerRequest(true);
  EXPECT_EQ(node.OneReport().m_reason, Reason::Leaving);
  node.Feed(HandOverEnded{ running, ServerVerdict::Answered });
  EXPECT_EQ(node.OneReport().m_outcome, Outcome::Completed);
  EXPECT_FALSE(node.m_decisions.IsReady());
}

/* Every request from a node gets one answer at most, exactly one unless its
   sender left, and "not run" is said only of what was not handed over or was
   given back unrun. */
RC_GTEST_PROP(RelayGate, NotRunIsTrue, ())
{
  Gate node(3);
  std::set<CallId> open;
  std::set<CallId> atServer;
  std::set<CallId> mayHaveRun;
  std::uint64_t sequence = 1;
  const int steps = *rc::gen::inRange(1, 120);
  const auto settle = [&] {
    for (const HandOverRequest& handOver : node.Take<HandOverRequest>()) {
      RC_ASSERT(atServer.insert(handOver.m_call).second);
    }
    for (const AnswerPeer& answer : node.Take<AnswerPeer>()) {
      RC_ASSERT(open.erase(answer.m_call) == 1U);
      if (answer.m_report.m_outcome == Outcome::NotRun) {
        RC_ASSERT(!mayHaveRun.contains(answer.m_call));
        RC_ASSERT(!atServer.contains(answer.m_call));
      }
    }
  };
  for (int step = 0; step < steps; ++step) {
    node.m_now += Milliseconds(*rc::gen::inRange(0, 300));
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
      case 1:
        if (!atServer.empty()) {
          const CallId call = *atServer.begin();
          atServer.erase(call);
          const auto verdict =
            static_cast<ServerVerdict>(*rc::gen::inRange(0, 7));
          const bool isUnrun = verdict == ServerVerdict::RefusedNotRun ||
                               verdict == ServerVerdict::WrongServer ||
                               verdict == ServerVerdict::Unreachable;
          if (!isUnrun) {
            mayHaveRun.insert(call);
          }
          node.Feed(HandOverEnded{ call, verdict });
        }
        break;
      case 2:
        if (!open.empty()) {
          const CallId call = *open.begin();
          open.erase(call);
          node.Feed(SenderGone{ call });
        }
        break;
      case 3:
        node.Announce(3, ++sequence);
        break;
      case 4:
        node.Feed(HealthAnswered{ true, "server-1", 3 });
        break;
      default: {
        // The answer may come while the request is being fed.
        RelayHeader header;
        header.m_service = "orders";
        header.m_route = "route-orders";
        header.m_remaining = Seconds(5);
        header.m_longestWait = Milliseconds(200);
        const CallId call{ 1000U + static_cast<std::uint64_t>(step) };
        open.insert(call);
        node.Feed(PeerRequestArrived{ call, header, "front" });
      }
    }
    settle();
  }
  node.Feed(RelayShutdownAsked{});
  settle();
  for (const CallId call : std::set<CallId>(atServer)) {
    atServer.erase(call);
    mayHaveRun.insert(call);
    node.Feed(HandOverEnded{ call, ServerVerdict::Answered });
    settle();
  }
  RC_ASSERT(open.empty());
}

}

}
