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
    AdoptNodes("orders", {});
    Announce(aSlots);
  }

  RelayReport TakeReport()
  {
    const auto answers = TakeActions<AnswerPeer>();
    EXPECT_EQ(answers.size(), 1U);
    return answers.empty() ? RelayReport{} : answers.front().m_report;
  }

  /** Lets the time pass until broken connections have been judged. */
  void AwaitCrashVerdict()
  {
    m_now += CrashDetector::kDecisionTime;
    Feed(RelayTimerDue{});
  }

  /** The server's address accepts no connection. */
  void RefuseHealthCheck()
  {
    EXPECT_EQ(TakeActions<CheckHealth>().size(), 1U);
    HealthChecked refused;
    refused.m_isUnreachable = true;
    Feed(refused);
  }
};

TEST(RelayGateFlow, DispatchesUpToTheUsableSlotsAndQueuesTheRest)
{
  Gate node(25);
  const CallId first = node.PeerRequest(true);
  for (int call = 1; call < 30; ++call) {
    node.PeerRequest(true);
  }
  EXPECT_EQ(node.TakeActions<DispatchRequest>().size(), 23U);
  node.Feed(DispatchEnded{ first, DispatchResult::Answered });
  const auto next = node.TakeActions<DispatchRequest>();
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].m_server, "server-1");
  EXPECT_EQ(node.TakeReport().m_outcome, Outcome::Completed);
}

TEST(RelayGateFlow, NothingIsDispatchedAfterAnAcknowledgedDeparture)
{
  Gate node(2);
  const CallId running = node.PeerRequest(true);
  const CallId waiting = node.PeerRequest(true);
  node.TakeActions<DispatchRequest>();
  node.Announce(2, 2, true);
  const RelayReport refused = node.TakeReport();
  EXPECT_EQ(refused.m_outcome, Outcome::NotRun);
  EXPECT_EQ(refused.m_reason, Reason::Leaving);
  node.PeerRequest(true);
  EXPECT_EQ(node.TakeReport().m_reason, Reason::Leaving);
  node.Announce(2, 3, false);
  node.PeerRequest(true);
  node.Feed(DispatchEnded{ running, DispatchResult::Answered });
  EXPECT_TRUE(node.TakeActions<DispatchRequest>().empty());
  EXPECT_EQ(node.TakeActions<AnswerPeer>().size(), 2U);
  static_cast<void>(waiting);
}

TEST(RelayGateFlow, DispatchResultsMapToOutcomes)
{
  const std::vector<std::tuple<DispatchResult, Outcome, bool>> cases = {
    { DispatchResult::Answered, Outcome::Completed, true },
    { DispatchResult::AnsweredError, Outcome::Completed, true },
    { DispatchResult::RefusedNotRun, Outcome::NotRun, true },
    { DispatchResult::WrongServer, Outcome::NotRun, false },
    { DispatchResult::Unreachable, Outcome::NotRun, false },
    { DispatchResult::CallerLeft, Outcome::NotRun, false },
    { DispatchResult::Broken, Outcome::Unknown, true },
    { DispatchResult::TimedOut, Outcome::Unknown, true },
  };
  for (const auto& [result, outcome, hasReached] : cases) {
    Gate node(10);
    node.Feed(DispatchEnded{ node.PeerRequest(false), result });
    if (result == DispatchResult::Broken) {
      EXPECT_TRUE(node.TakeActions<AnswerPeer>().empty());
      node.AwaitCrashVerdict();
    }
    const RelayReport report = node.TakeReport();
    EXPECT_EQ(report.m_outcome, outcome) << ToText(result);
    EXPECT_EQ(report.m_hasReachedServer, hasReached) << ToText(result);
  }
}

/* The requests of a gate test differ in their content. */
TEST(RelayGateFlow, RequestsOfACrashedServerAreReportedAndCloseTheGate)
{
  Gate node(10);
  node.AdoptNodes("orders", { "host-1", "host-2", "host-3" });
  const CallId first = node.PeerRequest(true);
  const CallId second = node.PeerRequest(true);
  node.TakeActions<DispatchRequest>();
  node.Feed(DispatchEnded{ first, DispatchResult::Broken });
  node.Feed(DispatchEnded{ second, DispatchResult::Broken });
  EXPECT_TRUE(node.TakeActions<AnswerPeer>().empty());
  node.RefuseHealthCheck();
  const auto answers = node.TakeActions<AnswerPeer>();
  ASSERT_EQ(answers.size(), 2U);
  EXPECT_EQ(answers[0].m_report.m_outcome, Outcome::Unknown);
  ASSERT_TRUE(answers[0].m_report.m_suspect);
  EXPECT_EQ(answers[0].m_report.m_suspect->m_crashes, 1U);
  const auto reports = node.TakeActions<ReportSuspects>();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].m_peers.size(), 2U);
  EXPECT_EQ(reports[0].m_suspects.size(), 2U);
  node.PeerRequest(true);
  EXPECT_EQ(node.TakeReport().m_reason, Reason::NoServer);
}

TEST(RelayGateFlow, EndOfALeavingServerIsNoCrash)
{
  Gate node(10);
  node.AdoptNodes("orders", { "host-1", "host-2" });
  const CallId call = node.PeerRequest(true);
  node.Announce(10, 2, true);
  node.Feed(DispatchEnded{ call, DispatchResult::Broken });
  node.RefuseHealthCheck();
  const RelayReport report = node.TakeReport();
  EXPECT_EQ(report.m_outcome, Outcome::Unknown);
  EXPECT_FALSE(report.m_suspect);
  EXPECT_TRUE(node.TakeActions<ReportSuspects>().empty());
}

TEST(RelayGateFlow, SuspectsRunOneAfterTheOther)
{
  Gate node(10);
  std::vector<Suspect> suspects;
  for (std::uint64_t key = 1; key <= 3; ++key) {
    suspects.push_back({ { 9, key }, 1, Seconds(60), 0 });
  }
  node.Feed(SuspectsReported{ suspects });
  std::vector<CallId> calls;
  for (std::uint64_t key = 1; key <= 3; ++key) {
    calls.push_back(node.PeerRequest(true, Seconds(1), RequestKey{ 9, key }));
  }
  node.PeerRequest(true);
  EXPECT_EQ(node.TakeActions<DispatchRequest>().size(), 2U);
  node.Feed(DispatchEnded{ calls[0], DispatchResult::Answered });
  EXPECT_EQ(node.TakeReport().m_suspect->m_cleared, 1U);
  EXPECT_EQ(node.TakeActions<DispatchRequest>().size(), 1U);
  node.Feed(RelayCallerDisconnected{ calls[1] });
  node.Feed(DispatchEnded{ calls[1], DispatchResult::TimedOut });
  EXPECT_EQ(node.TakeActions<DispatchRequest>().size(), 1U);
  node.PeerRequest(true, Seconds(1), RequestKey{ 9, 1 });
  EXPECT_EQ(node.TakeActions<DispatchRequest>().size(), 1U);
}

TEST(RelayGateFlow, SuspectThatWaitsTooLongIsRefused)
{
  Gate node(10);
  node.Feed(SuspectsReported{
    { { { 9, 1 }, 1, Seconds(60), 0 }, { { 9, 2 }, 1, Seconds(60), 0 } } });
  node.PeerRequest(true, Seconds(1), RequestKey{ 9, 1 });
  node.PeerRequest(true, Seconds(1), RequestKey{ 9, 2 });
  EXPECT_EQ(node.m_decisions.NextWakeup() <= node.m_now + Seconds(3), true);
  node.m_now += Milliseconds(2500);
  node.Feed(RelayTimerDue{});
  const RelayReport report = node.TakeReport();
  EXPECT_EQ(report.m_outcome, Outcome::NotRun);
  EXPECT_EQ(report.m_reason, Reason::Overloaded);
}

/* The next suspect is due at once, but not in the infinite past, which timers
   can't express. */
TEST(RelayGateFlow, SuspectThatGetsNoSlotMakesWayForTheNext)
{
  Gate node(1);
  node.Feed(SuspectsReported{
    { { { 9, 1 }, 1, Seconds(60), 0 }, { { 9, 2 }, 1, Seconds(60), 0 } } });
  const CallId running = node.PeerRequest(true);
  node.PeerRequest(true, Seconds(1), RequestKey{ 9, 1 });
  node.PeerRequest(true, Seconds(2), RequestKey{ 9, 2 });
  node.TakeActions<DispatchRequest>();
  node.m_now += Seconds(1);
  node.Feed(RelayTimerDue{});
  EXPECT_EQ(node.TakeReport().m_reason, Reason::Overloaded);
  EXPECT_GE(node.m_decisions.NextWakeup(), Instant());
  node.Feed(DispatchEnded{ running, DispatchResult::Answered });
  EXPECT_EQ(node.TakeActions<DispatchRequest>().size(), 1U);
}

/* A request that waits for a slot is refused if it is found guilty
   meanwhile. */
TEST(RelayGateFlow, WaitingRequestIsNotDispatchedAfterItsSecondCrash)
{
  Gate node(1);
  const CallId running = node.PeerRequest(true);
  node.PeerRequest(true, Seconds(2), RequestKey{ 9, 1 });
  node.TakeActions<DispatchRequest>();
  node.Feed(SuspectsReported{ { { { 9, 1 }, 2, Seconds(120), 0 } } });
  node.Feed(DispatchEnded{ running, DispatchResult::Answered });
  EXPECT_TRUE(node.TakeActions<DispatchRequest>().empty());
  const auto answers = node.TakeActions<AnswerPeer>();
  ASSERT_EQ(answers.size(), 2U);
  EXPECT_EQ(answers[1].m_report.m_reason, Reason::Suspect);
  EXPECT_EQ(answers[1].m_report.m_outcome, Outcome::NotRun);
}

TEST(RelayGateFlow, DisconnectedCallerCancelsOnlyIdempotentRequests)
{
  Gate node(1);
  const CallId unsafe = node.PeerRequest(false);
  const CallId waiting = node.PeerRequest(false);
  node.TakeActions<DispatchRequest>();
  node.Feed(RelayCallerDisconnected{ unsafe });
  node.Feed(RelayCallerDisconnected{ waiting });
  EXPECT_TRUE(node.TakeActions<CancelRelayDispatch>().empty());
  node.Feed(DispatchEnded{ unsafe, DispatchResult::Answered });
  EXPECT_TRUE(node.TakeActions<DispatchRequest>().empty());
  EXPECT_TRUE(node.TakeActions<AnswerPeer>().empty());
  const CallId safe = node.PeerRequest(true);
  node.Feed(RelayCallerDisconnected{ safe });
  EXPECT_EQ(node.TakeActions<CancelRelayDispatch>().size(), 1U);
  EXPECT_EQ(node.CountLogLines("caller-left"), 3);
}

/* Incident SHORT: requests that were cancelled while they were connecting made
   a healthy server count as absent. */
TEST(RelayGateFlow, CallersThatLeaveWhileConnectingDoNotMarkTheServerAbsent)
{
  Gate node(25);
  for (int request = 0; request < 10; ++request) {
    const CallId call = node.PeerRequest(true);
    node.Feed(RelayCallerDisconnected{ call });
    node.Feed(DispatchEnded{ call, DispatchResult::Unreachable });
  }
  node.TakeActions<DispatchRequest>();
  node.PeerRequest(true);
  EXPECT_EQ(node.TakeActions<DispatchRequest>().size(), 1U);
}

/* As on days with scale_in: requests that run when a server leaves end while
   the limit of the queue is 0, where no load can be computed. */
TEST(RelayGateFlow, ClosedGateReportsNoLoad)
{
  Gate node(25);
  const CallId first = node.PeerRequest(true);
  const CallId second = node.PeerRequest(true);
  const CallId third = node.PeerRequest(true);
  for (int call = 3; call < 20; ++call) {
    node.PeerRequest(true);
  }
  node.m_now += Milliseconds(50);
  node.Feed(DispatchEnded{ first, DispatchResult::Answered });
  for (int call = 0; call < 20; ++call) {
    node.PeerRequest(true);
  }
  node.TakeActions<AnswerPeer>();
  node.Feed(DispatchEnded{ second, DispatchResult::Answered });
  EXPECT_GT(node.TakeReport().m_gateLoad, 0);
  node.Announce(25, 2, true);
  node.TakeActions<AnswerPeer>();
  node.Feed(DispatchEnded{ third, DispatchResult::Answered });
  EXPECT_EQ(node.TakeReport().m_gateLoad, 0);
}

/* As on days of high load: at steady rates, child calls wait long, and the
   requests of one route end before any of these calls. The load of the calls
   must not count for that route. */
TEST(RelayGateFlow, DownstreamLoadIsNotAttributedToRequestsWithoutChildCalls)
{
  Gate node(200);
  node.AdoptRoutes(2,
                   { RelayTestNode::Route("orders", true),
                     RelayTestNode::Route("prices", true) });
  node.AdoptNodes("prices", { "host-2", "host-3" });
  RelayReport busy;
  busy.m_outcome = Outcome::Completed;
  busy.m_hasReachedServer = true;
  busy.m_isCalledRoute = true;
  busy.m_pathLoad = 3;
  const auto end = [&](CallId aCall) {
    node.Feed(DispatchEnded{ aCall, DispatchResult::Answered });
    return node.TakeReport().m_pathLoad;
  };
  double leafLoad = 0;
  double callerLoad = 0;
  for (int window = 0; window < 60; ++window) {
    std::vector<CallId> leafRequests;
    std::vector<CallId> callerRequests;
    std::vector<CallId> calls;
    for (int count = 0; count < 5; ++count) {
      leafRequests.push_back(
        node.PeerRequest(true, Seconds(1), std::nullopt, "route-cheap"));
      callerRequests.push_back(
        node.PeerRequest(true, Seconds(1), std::nullopt, "route-dear"));
      calls.push_back(node.Request("/prices/1"));
    }
    node.m_now += Milliseconds(50);
    for (const CallId call : leafRequests) {
      leafLoad = end(call);
    }
    node.m_now += Milliseconds(100);
    for (const CallId call : calls) {
      node.Feed(ForwardAnswered{ call, busy });
    }
    node.m_now += Milliseconds(100);
    for (const CallId call : callerRequests) {
      callerLoad = end(call);
    }
  }
  EXPECT_GT(callerLoad, 2);
  EXPECT_LT(leafLoad, 1);
}

TEST(RelayGateFlow, UnreachableServerIsAbsentUntilAHealthCheckSucceeds)
{
  Gate node(10);
  for (int call = 0; call < 6; ++call) {
    node.Feed(
      DispatchEnded{ node.PeerRequest(true), DispatchResult::Unreachable });
  }
  node.TakeActions<AnswerPeer>();
  node.PeerRequest(true);
  EXPECT_EQ(node.TakeReport().m_reason, Reason::NoServer);
  EXPECT_EQ(node.TakeActions<CheckHealth>().size(), 1U);
  node.Feed(HealthChecked{ false, {}, 0 });
  node.m_now += Seconds(1);
  node.Feed(RelayTimerDue{});
  EXPECT_EQ(node.TakeActions<CheckHealth>().size(), 1U);
  node.Feed(HealthChecked{ true, "server-1", 10 });
  node.TakeActions<DispatchRequest>();
  node.PeerRequest(true);
  EXPECT_EQ(node.TakeActions<DispatchRequest>().size(), 1U);
}

TEST(RelayGateFlow, AnotherServerAtTheAddressIsIdentifiedByAHealthCheck)
{
  Gate node(10);
  node.Feed(
    DispatchEnded{ node.PeerRequest(true), DispatchResult::WrongServer });
  EXPECT_EQ(node.TakeActions<CheckHealth>().size(), 1U);
  node.Feed(HealthChecked{ true, "server-2", 10 });
  node.TakeActions<DispatchRequest>();
  node.PeerRequest(true);
  EXPECT_EQ(node.TakeActions<DispatchRequest>().at(0).m_server, "server-2");
}

TEST(RelayGateFlow, RestartedNodeServesAfterAHealthCheckIdentifiesTheServer)
{
  RelayTestNode node;
  node.PeerRequest(true);
  EXPECT_EQ(node.TakeActions<AnswerPeer>().size(), 1U);
  node.AdoptNodes("orders", {});
  node.AdoptRoutes(1, { RelayTestNode::Route("orders", true) });
  ASSERT_EQ(node.TakeActions<CheckHealth>().size(), 1U);
  node.Feed(HealthChecked{ true, "server-1", 4 });
  node.PeerRequest(true);
  EXPECT_EQ(node.TakeActions<DispatchRequest>().size(), 1U);
}

/* Incident LIMIT: the process that had read the limit restarts. */
TEST(RelayGateFlow, RestartedGateEnforcesTheRateLimitThatOtherNodesKnow)
{
  Gate node(50);
  RelayHeader header;
  header.m_service = "orders";
  header.m_route = "route-orders";
  header.m_remaining = Seconds(5);
  header.m_maxWait = Milliseconds(200);
  header.m_knownServer = ServerReport{ { "server-1", 1000 }, { 5, false } };
  for (std::uint64_t call = 1; call <= 40; ++call) {
    node.m_now += Milliseconds(10);
    node.Feed(PeerRequestArrived{ CallId{ 1000 + call }, header, "front" });
  }
  EXPECT_LE(node.TakeActions<DispatchRequest>().size(), 4U);
  const auto answers = node.TakeActions<AnswerPeer>();
  ASSERT_FALSE(answers.empty());
  EXPECT_EQ(answers[0].m_report.m_reason, Reason::RateLimited);
  EXPECT_EQ(answers[0].m_report.m_server, header.m_knownServer);
  EXPECT_GT(answers.back().m_report.m_gateLoad, 1);
}

TEST(RelayGateFlow, AnswerOfTheServerGoesBeforeWhatOtherNodesKnow)
{
  Gate node(50);
  node.Feed(DispatchEnded{
    node.PeerRequest(true), DispatchResult::Answered, ServerCondition{} });
  RelayHeader header;
  header.m_service = "orders";
  header.m_route = "route-orders";
  header.m_remaining = Seconds(5);
  header.m_maxWait = Milliseconds(200);
  for (const WallMilliseconds start : { 1000, 2000 }) {
    header.m_knownServer = ServerReport{ { "server-1", start }, { 1, false } };
    node.TakeActions<DispatchRequest>();
    for (std::uint64_t call = 1; call <= 10; ++call) {
      const auto number = static_cast<std::uint64_t>(start) + call;
      node.Feed(PeerRequestArrived{ CallId{ number }, header, "front" });
    }
    EXPECT_EQ(node.TakeActions<DispatchRequest>().size(), 10U);
  }
}

TEST(RelayGateFlow, HealthyAnswerOfALeavingServerDoesNotOpenTheGate)
{
  RelayTestNode node;
  node.AdoptRoutes(1, { RelayTestNode::Route("orders", true) });
  node.Feed(HealthChecked{
    true, "server-1", 4, ServerCondition{ std::nullopt, true } });
  node.PeerRequest(true);
  EXPECT_TRUE(node.TakeActions<DispatchRequest>().empty());
  node.m_now += Seconds(1);
  node.Feed(RelayTimerDue{});
  node.Feed(HealthChecked{ true, "server-2", 4, ServerCondition{} });
  node.PeerRequest(true);
  EXPECT_EQ(node.TakeActions<DispatchRequest>().size(), 1U);
}

/* A wakeup in the past overflowed the timer of a node whose service had no
   configuration yet, and no timer of the process ever fired again. */
TEST(RelayGateFlow, HostOfAnUnconfiguredServiceHasNoWakeupInThePast)
{
  RelaySettings settings = RelayTestNode::Settings("host-1");
  settings.m_service = "not-configured";
  RelayTestNode node(settings);
  node.AdoptRoutes(1, {});
  EXPECT_GT(node.m_decisions.NextWakeup(), node.m_now - Seconds(60));
}

TEST(RelayGateFlow, ReportWithoutAStartTimeDoesNotCloseTheGateOfAKnownStart)
{
  for (const bool isStartKnown : { false, true }) {
    Gate node(10);
    RelayHeader header;
    header.m_service = "orders";
    header.m_route = "route-orders";
    header.m_remaining = Seconds(5);
    ServerStart start{ "server-1", std::nullopt };
    if (isStartKnown) {
      start.m_startTime = 1000;
    }
    header.m_knownServer = ServerReport{ start, { std::nullopt, true } };
    node.Feed(PeerRequestArrived{ CallId{ 1000 }, header, "front" });
    EXPECT_EQ(node.TakeActions<DispatchRequest>().empty(), isStartKnown);
  }
}

/* A late answer of the former start says nothing about the present one. */
TEST(RelayGateFlow, LeavingOfAnEarlierStartDoesNotCloseTheGate)
{
  Gate node(10);
  const CallId late = node.PeerRequest(true);
  ServerAnnouncement again;
  again.m_id = "server-1";
  again.m_service = "orders";
  again.m_slots = 10;
  again.m_startTime = 2000;
  node.Feed(BackendAnnounced{ again });
  node.TakeActions<DispatchRequest>();
  node.Feed(DispatchEnded{
    late, DispatchResult::Answered, ServerCondition{ std::nullopt, true } });
  node.PeerRequest(true);
  EXPECT_EQ(node.TakeActions<DispatchRequest>().size(), 1U);
}

TEST(RelayGateFlow, ShutdownRefusesNewRequestsAndFinishesRunningOnes)
{
  Gate node(10);
  const CallId running = node.PeerRequest(true);
  node.Feed(RelayShutdownRequested{});
  node.PeerRequest(true);
  EXPECT_EQ(node.TakeReport().m_reason, Reason::Leaving);
  node.Feed(DispatchEnded{ running, DispatchResult::Answered });
  EXPECT_EQ(node.TakeReport().m_outcome, Outcome::Completed);
  EXPECT_FALSE(node.m_decisions.IsReady());
}

/* Every request from a node gets exactly one answer, or none if its caller
   disconnects. "Not run" is reported only for requests that were not dispatched
   or that the server returned without running them. */
RC_GTEST_PROP(RelayGateFlow, NotRunIsReportedOnlyForRequestsThatDidNotRun, ())
{
  Gate node(3);
  std::set<CallId> open;
  std::set<CallId> atServer;
  std::set<CallId> mayHaveRun;
  std::uint64_t sequence = 1;
  const int steps = *rc::gen::inRange(1, 120);
  const auto checkActions = [&] {
    for (const DispatchRequest& dispatch :
         node.TakeActions<DispatchRequest>()) {
      RC_ASSERT(atServer.insert(dispatch.m_call).second);
    }
    for (const AnswerPeer& answer : node.TakeActions<AnswerPeer>()) {
      RC_ASSERT(open.erase(answer.m_call) == 1U);
      if (answer.m_report.m_outcome == Outcome::NotRun) {
        RC_ASSERT(!mayHaveRun.contains(answer.m_call));
        RC_ASSERT(!atServer.contains(answer.m_call));
      }
    }
  };
  for (int step = 0; step < steps; ++step) {
    node.m_now += Milliseconds(*rc::gen::inRange(0, 300));
    switch (*rc::gen::inRange(0, 9)) {
      case 0:
      case 1:
        if (!atServer.empty()) {
          const CallId call = *atServer.begin();
          atServer.erase(call);
          const auto result =
            static_cast<DispatchResult>(*rc::gen::inRange(0, 8));
          const bool isUnrun = result == DispatchResult::RefusedNotRun ||
                               result == DispatchResult::WrongServer ||
                               result == DispatchResult::Unreachable ||
                               result == DispatchResult::CallerLeft;
          if (!isUnrun) {
            mayHaveRun.insert(call);
          }
          node.Feed(DispatchEnded{ call, result });
        }
        break;
      case 2:
        if (!open.empty()) {
          const CallId call = *open.begin();
          open.erase(call);
          node.Feed(RelayCallerDisconnected{ call });
        }
        break;
      case 3:
        node.Announce(3, ++sequence);
        break;
      case 4:
        node.Feed(HealthChecked{ true, "server-1", 3 });
        break;
      case 5: {
        HealthChecked check;
        check.m_isUnreachable = true;
        node.Feed(check);
        break;
      }
      default: {
        // The answer may be emitted while the request is handled.
        RelayHeader header;
        header.m_service = "orders";
        header.m_route = "route-orders";
        header.m_remaining = Seconds(5);
        header.m_maxWait = Milliseconds(200);
        header.m_content = RequestKey{ 1, *rc::gen::inRange(0U, 4U) };
        const CallId call{ 1000U + static_cast<std::uint64_t>(step) };
        open.insert(call);
        node.Feed(PeerRequestArrived{ call, header, "front" });
      }
    }
    checkActions();
  }
  node.Feed(RelayShutdownRequested{});
  checkActions();
  for (const CallId call : std::set<CallId>(atServer)) {
    atServer.erase(call);
    mayHaveRun.insert(call);
    node.Feed(DispatchEnded{ call, DispatchResult::Answered });
    checkActions();
  }
  node.AwaitCrashVerdict();
  checkActions();
  RC_ASSERT(open.empty());
}

}

}
