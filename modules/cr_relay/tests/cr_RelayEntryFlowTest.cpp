#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "tests/cr_RelayTestNode.h"

namespace cr {

namespace {

constexpr unsigned kNotFound = 404;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

RelayReport
Report(Outcome aOutcome, Reason aReason, bool aHasReached)
{
  RelayReport report;
  report.m_outcome = aOutcome;
  report.m_reason = aReason;
  report.m_hasReachedServer = aHasReached;
  return report;
}

const RelayReport kCompleted = Report(Outcome::Completed, Reason::None, true);
const RelayReport kLeaving = Report(Outcome::NotRun, Reason::Leaving, false);
const RelayReport kGateFull =
  Report(Outcome::NotRun, Reason::Overloaded, false);
const RelayReport kServerRefused =
  Report(Outcome::NotRun, Reason::ServerFailed, true);
const RelayReport kBroken =
  Report(Outcome::Unknown, Reason::ConnectionLost, true);

/* A node with an idempotent route to four hosts and a non-idempotent one to two
   others. */
struct Entry : RelayTestNode
{
  Entry()
  {
    AdoptRoutes(3, { Route("status", true), Route("booking", false) });
    AdoptNodes("status", { "host-2", "host-3", "host-4", "host-5" });
    AdoptBookingNodes();
    // The retry budget is a ratio of the requests.
    for (int request = 0; request < 20; ++request) {
      Answer(Request("/status/1"), kCompleted);
      Answer(Request("/booking/1"), kCompleted);
    }
    TakeActions<RelayAnswer>();
    TakeActions<ForwardRequest>();
  }

  void Answer(CallId aCall, const RelayReport& aReport)
  {
    Feed(ForwardAnswered{ aCall, aReport });
  }

  std::string TakeForwardHost()
  {
    const auto forwards = TakeActions<ForwardRequest>();
    EXPECT_EQ(forwards.size(), 1U);
    return forwards.empty() ? "" : forwards.front().m_peer.m_address;
  }

  unsigned TakeRefusalStatus()
  {
    const auto refusals = TakeActions<RefuseRequest>();
    EXPECT_EQ(refusals.size(), 1U);
    return refusals.empty() ? 0 : refusals.front().m_status;
  }

  /* The node learns that backend servers make the status requests. */
  void ReportStatusAsCalledRoute()
  {
    RelayReport called = kCompleted;
    called.m_isCalledRoute = true;
    const CallId call = Request("/status/8");
    TakeForwardHost();
    Answer(call, called);
  }

private:
  void AdoptBookingNodes()
  {
    RowChanges changes;
    changes.m_version = 2;
    for (const char* host : { "host-6", "host-7" }) {
      changes.m_changes.push_back(
        { { host, EncodeNodeRow(ReadyRow(host, "booking")), 2 }, false });
    }
    for (const auto& call : TakeActions<RelayCallStore>()) {
      const auto* watch = std::get_if<WatchRequest>(&call.m_request);
      if (watch != nullptr && watch->m_table == kNodeTable) {
        Feed(RelayStoreAnswered{ call.m_id, changes });
      }
    }
  }
};

TEST(RelayEntryFlow, AnsweredRequestsAreRelayedOnce)
{
  Entry node;
  const CallId call = node.Request("/status/9");
  EXPECT_FALSE(node.TakeForwardHost().empty());
  node.Answer(call, kCompleted);
  node.Answer(call, kCompleted);
  EXPECT_EQ(node.TakeActions<RelayAnswer>().size(), 1U);
}

TEST(RelayEntryFlow, BeforeRoutesAreLoadedRequestsGet503InsteadOf404)
{
  RelayTestNode node;
  node.Request("/status/9");
  const auto refusals = node.TakeActions<RefuseRequest>();
  ASSERT_EQ(refusals.size(), 1U);
  EXPECT_EQ(refusals[0].m_status, kUnavailable);
  EXPECT_TRUE(refusals[0].m_retryAfter);
  node.AdoptRoutes(1, { RelayTestNode::Route("status", true) });
  node.Request("/elsewhere/9");
  EXPECT_EQ(node.TakeActions<RefuseRequest>().at(0).m_status, kNotFound);
}

TEST(RelayEntryFlow, ALeavingHostUsesNoAttemptAndNoRetryBudget)
{
  Entry node;
  const CallId call = node.Request("/booking/9");
  const std::string first = node.TakeForwardHost();
  node.Answer(call, kLeaving);
  EXPECT_NE(node.TakeForwardHost(), first);
  node.Answer(call, kCompleted);
  EXPECT_EQ(node.TakeActions<RelayAnswer>().size(), 1U);
}

TEST(RelayEntryFlow, RefusedSuspectIsNotOfferedToAnotherHost)
{
  Entry node;
  const CallId call = node.Request("/status/9");
  node.TakeForwardHost();
  RelayReport report = NotRunReport(Reason::Suspect);
  report.m_suspect = Suspect{ {}, 2, Seconds(120), 0 };
  node.Answer(call, report);
  EXPECT_TRUE(node.TakeActions<ForwardRequest>().empty());
  const auto refusals = node.TakeActions<RefuseRequest>();
  ASSERT_EQ(refusals.size(), 1U);
  EXPECT_EQ(refusals[0].m_status, kUnavailable);
  EXPECT_GE(refusals[0].m_retryAfter, Seconds(30));
}

/* Gates that know the request refuse it again and again. */
TEST(RelayEntryFlow, RefusedSuspectsDoNotEjectTheHostThatRefusesThem)
{
  Entry node;
  const auto countForwards = [&](bool aRefuses) {
    int count = 0;
    for (int request = 0; request < 80; ++request) {
      const CallId call =
        node.Request("/status/" + std::to_string(request), Seconds(5));
      const bool isRefusing = node.TakeForwardHost() == "host-2";
      count += isRefusing ? 1 : 0;
      node.Answer(call,
                  isRefusing && aRefuses ? NotRunReport(Reason::Suspect)
                                         : kCompleted);
      node.m_now += Milliseconds(10);
    }
    return count;
  };
  countForwards(true);
  EXPECT_GE(countForwards(false), 10);
}

/* A request that has run must not get a status that promises it has not. */
TEST(RelayEntryFlow, RequestThatCrashedTwoServersGetsNoPromise)
{
  Entry node;
  const CallId call = node.Request("/status/9");
  node.TakeForwardHost();
  RelayReport report = ReportOf(DispatchResult::Broken);
  report.m_suspect = Suspect{ {}, 2, Seconds(120), 0 };
  node.Answer(call, report);
  EXPECT_TRUE(node.TakeActions<ForwardRequest>().empty());
  EXPECT_EQ(node.TakeRefusalStatus(), kBadGateway);
}

TEST(RelayEntryFlow, CustomerRequestIsNotRetriedAfterAFullGate)
{
  Entry node;
  const CallId call = node.Request("/status/9");
  node.TakeForwardHost();
  node.Answer(call, kGateFull);
  EXPECT_TRUE(node.TakeActions<ForwardRequest>().empty());
  const auto refusals = node.TakeActions<RefuseRequest>();
  ASSERT_EQ(refusals.size(), 1U);
  EXPECT_EQ(refusals[0].m_status, kUnavailable);
  ASSERT_TRUE(refusals[0].m_retryAfter);
  EXPECT_GT(*refusals[0].m_retryAfter, Duration::zero());
  EXPECT_LE(*refusals[0].m_retryAfter, Seconds(5) / 3);
}

TEST(RelayEntryFlow, ChildCallIsRetriedAtOneMoreGate)
{
  Entry node;
  node.ReportStatusAsCalledRoute();
  const CallId call = node.Request("/status/9");
  const std::string first = node.TakeForwardHost();
  node.Answer(call, kGateFull);
  EXPECT_NE(node.TakeForwardHost(), first);
  node.Answer(call, kGateFull);
  EXPECT_EQ(node.TakeRefusalStatus(), kUnavailable);
}

TEST(RelayEntryFlow, NonIdempotentRequestIsRetriedOnlyIfItDidNotRun)
{
  Entry node;
  const CallId shed = node.Request("/booking/1");
  const std::string first = node.TakeForwardHost();
  node.Answer(shed, kServerRefused);
  EXPECT_NE(node.TakeForwardHost(), first);
  node.Answer(shed, kBroken);
  EXPECT_TRUE(node.TakeActions<ForwardRequest>().empty());
  EXPECT_EQ(node.TakeRefusalStatus(), kBadGateway);

  const CallId lost = node.Request("/booking/2");
  node.TakeForwardHost();
  node.Answer(lost, kBroken);
  EXPECT_TRUE(node.TakeActions<ForwardRequest>().empty());
  EXPECT_EQ(node.TakeRefusalStatus(), kBadGateway);

  const CallId cut = node.Request("/booking/3");
  node.TakeForwardHost();
  node.Feed(ForwardFailed{ cut, true, false });
  EXPECT_TRUE(node.TakeActions<ForwardRequest>().empty());
  EXPECT_EQ(node.TakeRefusalStatus(), kBadGateway);

  const CallId unsent = node.Request("/booking/4");
  const std::string dead = node.TakeForwardHost();
  node.Feed(ForwardFailed{ unsent, false, false });
  EXPECT_NE(node.TakeForwardHost(), dead);
}

TEST(RelayEntryFlow, RefusalAfterAPossibleRunIsNotReportedAsNotRun)
{
  Entry node;
  const CallId call = node.Request("/status/9");
  node.TakeForwardHost();
  node.Answer(call, kBroken);
  do {
    node.Answer(call, kServerRefused);
  } while (!node.TakeActions<ForwardRequest>().empty());
  EXPECT_EQ(node.TakeRefusalStatus(), kBadGateway);
}

TEST(RelayEntryFlow, ServerErrorIsRelayedWhenTheRetryIsRefused)
{
  Entry node;
  RelayReport error = kCompleted;
  error.m_isServerError = true;
  const CallId call = node.Request("/status/9");
  node.TakeForwardHost();
  node.Answer(call, error);
  node.TakeForwardHost();
  node.Answer(call, kGateFull);
  EXPECT_EQ(node.TakeActions<RelayAnswer>().size(), 1U);
  EXPECT_TRUE(node.TakeActions<RefuseRequest>().empty());
}

TEST(RelayEntryFlow, NoRetryWhileThePathIsOverloaded)
{
  Entry node;
  RelayReport error = kCompleted;
  error.m_isServerError = true;
  error.m_pathLoad = 1.2;
  const CallId call = node.Request("/status/9");
  node.TakeForwardHost();
  node.Answer(call, error);
  EXPECT_TRUE(node.TakeActions<ForwardRequest>().empty());
  EXPECT_EQ(node.TakeActions<RelayAnswer>().size(), 1U);
}

TEST(RelayEntryFlow, ExpiredDeadlineIsAnsweredWithGatewayTimeout)
{
  Entry node;
  const CallId call = node.Request("/status/9");
  node.TakeForwardHost();
  node.m_now += Seconds(5);
  node.Feed(ForwardFailed{ call, true, true });
  EXPECT_EQ(node.TakeRefusalStatus(), kGatewayTimeout);
}

/* A pipelined request that waited for its turn has less time left, and what it
   waited counts against the route's timeout. */
TEST(RelayEntryFlow, TimeThatARequestWaitedForItsTurnCounts)
{
  Entry node;
  RequestArrived event;
  event.m_call = CallId{ 1000 };
  event.m_hostName = "shop";
  event.m_target = "/status/9";
  event.m_callerTimeout = Seconds(4);
  event.m_waited = Milliseconds(1500);
  node.Feed(event);
  auto forwards = node.TakeActions<ForwardRequest>();
  ASSERT_EQ(forwards.size(), 1U);
  EXPECT_EQ(forwards[0].m_header.m_remaining, Milliseconds(2500));
  // The objective of a second has passed, so it waits for no slot.
  EXPECT_EQ(forwards[0].m_header.m_maxWait, Duration::zero());
  event.m_call = CallId{ 1001 };
  event.m_waited = Seconds(5);
  node.Feed(event);
  EXPECT_TRUE(node.TakeActions<ForwardRequest>().empty());
  EXPECT_EQ(node.TakeRefusalStatus(), kUnavailable);
}

TEST(RelayEntryFlow, DisconnectedCustomerCancelsTheRequest)
{
  Entry node;
  const CallId call = node.Request("/status/9");
  node.Feed(RelayCallerDisconnected{ call });
  EXPECT_EQ(node.TakeActions<CancelForward>().size(), 1U);
  EXPECT_EQ(node.CountLogLines("caller-left"), 1);
  node.Answer(call, kCompleted);
  EXPECT_TRUE(node.TakeActions<RelayAnswer>().empty());
}

TEST(RelayEntryFlow, RequestKeepsItsRouteAcrossConfigurationChanges)
{
  Entry node;
  const CallId call = node.Request("/status/9");
  node.TakeForwardHost();
  node.AdoptRoutes(4, { RelayTestNode::Route("booking", false) });
  node.Answer(call, kServerRefused);
  EXPECT_FALSE(node.TakeForwardHost().empty());
  node.Request("/status/9");
  EXPECT_EQ(node.TakeRefusalStatus(), kNotFound);
}

/* Incident SHORT: the log did not tell which limit refused a request. */
TEST(RelayEntryFlow, RefusalsNameTheLimitThatRefused)
{
  Entry node;
  RelayReport overloaded = kCompleted;
  overloaded.m_pathLoad = 4;
  overloaded.m_bottleneck = "prices";
  overloaded.m_pathWork = Milliseconds(300);
  std::set<std::string_view> limits;
  for (int round = 0; round < 1000; ++round) {
    node.m_now += Milliseconds(4);
    const CallId call = node.Request("/status/9");
    // Every fifth request stays in flight.
    if (round % 5 > 0) {
      node.Answer(call, overloaded);
    }
    for (const auto& refusal : node.TakeActions<RefuseRequest>()) {
      EXPECT_EQ(refusal.m_reason, Reason::Overloaded);
      limits.insert(refusal.m_limit);
    }
    node.TakeActions<ForwardRequest>();
  }
  EXPECT_EQ(limits, (std::set<std::string_view>{ "share", "in-flight" }));
  EXPECT_GE(node.CountLogLines("route-admission"), 3);
  const CallId call = node.Request("/booking/9");
  node.Answer(call, kGateFull);
  const auto refusals = node.TakeActions<RefuseRequest>();
  ASSERT_EQ(refusals.size(), 1U);
  EXPECT_EQ(refusals[0].m_limit, "gate");
}

/* Incident SHORT: a child call that failed under load cost the request that
   made it, with all its other calls. */
TEST(RelayEntryFlow, FailedChildCallIsRetriedUnderLoad)
{
  Entry node;
  node.ReportStatusAsCalledRoute();
  RelayReport broken = kBroken;
  broken.m_isCalledRoute = true;
  broken.m_pathLoad = 1.3;
  const CallId call = node.Request("/status/9");
  const std::string first = node.TakeForwardHost();
  node.Answer(call, broken);
  EXPECT_NE(node.TakeForwardHost(), first);
  EXPECT_TRUE(node.TakeActions<RefuseRequest>().empty());
}

/* As on day scale-1: customers send 5000 ms, of which 1 ms sometimes passes on
   the way, and refused customers retry with less time left. Only the latter may
   count as returning. */
TEST(RelayEntryFlow, ReturningCustomersAreRecognizedByTheirRemainingTime)
{
  Entry node;
  RelayReport overloaded = kCompleted;
  overloaded.m_pathLoad = 1.6;
  int refusedNew = 0;
  int refusedLate = 0;
  int refusedReturning = 0;
  constexpr int rounds = 3000;
  const auto isRefused = [&](Duration aCallerTimeout) {
    const CallId call = node.Request("/status/9", aCallerTimeout);
    node.Answer(call, overloaded);
    node.TakeActions<ForwardRequest>();
    return !node.TakeActions<RefuseRequest>().empty();
  };
  for (int round = 0; round < rounds; ++round) {
    node.m_now += Milliseconds(2);
    refusedNew += isRefused(Seconds(5)) ? 1 : 0;
    refusedLate += isRefused(Milliseconds(4999)) ? 1 : 0;
    refusedReturning += isRefused(Milliseconds(4600)) ? 1 : 0;
  }
  EXPECT_GT(refusedNew, rounds / 2);
  constexpr double tolerance = 0.05;
  EXPECT_NEAR(refusedLate, refusedNew, rounds * tolerance);
  EXPECT_LT(refusedReturning * 4, refusedNew * 3);
}

/* As on day scale-1, where all servers of the last service refuse a part of
   their requests: a request that no server ran must not use up its attempts. */
TEST(RelayEntryFlow, RequestRefusedByAServerIsSentToTheOthers)
{
  Entry node;
  const CallId call = node.Request("/status/9");
  std::set<std::string> hosts;
  constexpr int servers = 4;
  for (int host = 0; host < servers; ++host) {
    hosts.insert(node.TakeForwardHost());
    node.Answer(call, kServerRefused);
  }
  EXPECT_EQ(hosts.size(), static_cast<std::size_t>(servers));
  // All hosts have refused; the request goes to one of them again.
  EXPECT_FALSE(node.TakeForwardHost().empty());
  node.Answer(call, kCompleted);
  EXPECT_EQ(node.TakeActions<RelayAnswer>().size(), 1U);
}

/* For any answers of the nodes: exactly one final answer, no more possible runs
   than the route has attempts, at most 6 forwards, and no second run of a
   request that is not idempotent. */
RC_GTEST_PROP(RelayEntryFlow, FinalAnswersAreConsistent, ())
{
  Entry node;
  const bool isSafe = *rc::gen::arbitrary<bool>();
  const CallId call = node.Request(isSafe ? "/status/9" : "/booking/9");
  unsigned sends = 0;
  unsigned runs = 0;
  while (!node.TakeActions<ForwardRequest>().empty()) {
    ++sends;
    RC_ASSERT(isSafe || runs == 0);
    node.m_now += Milliseconds(*rc::gen::inRange(0, 600));
    switch (*rc::gen::inRange(0, 7)) {
      case 0:
        node.Answer(call, kLeaving);
        break;
      case 1:
        node.Answer(call, kGateFull);
        break;
      case 2:
        node.Answer(call, kServerRefused);
        break;
      case 3:
        ++runs;
        node.Answer(call, kBroken);
        break;
      case 4:
        node.Feed(ForwardFailed{ call, false, false });
        break;
      case 5:
        ++runs;
        node.Feed(ForwardFailed{ call, true, true });
        break;
      default:
        ++runs;
        node.Answer(call, kCompleted);
    }
  }
  const auto refusals = node.TakeActions<RefuseRequest>();
  RC_ASSERT(refusals.size() + node.TakeActions<RelayAnswer>().size() == 1U);
  RC_ASSERT(runs <= 2U);
  RC_ASSERT(sends <= 6U);
  for (const RefuseRequest& refusal : refusals) {
    RC_ASSERT((refusal.m_status == kUnavailable) == (runs == 0));
    RC_ASSERT(refusal.m_retryAfter.has_value() == (runs == 0));
  }
}

TEST(RelayEntryFlow, ReportOfAServerIsSentBackUntilTheServerAnswersWithoutIt)
{
  Entry node;
  RelayReport limited = kCompleted;
  limited.m_server = ServerReport{ { "server-6", 1000 }, { 5, false } };
  std::string host;
  const auto forward = [&](const RelayReport& aReport) {
    for (int attempt = 0; attempt < 100; ++attempt) {
      const CallId call = node.Request("/booking/1");
      const auto forwards = node.TakeActions<ForwardRequest>();
      const std::string address = forwards.at(0).m_peer.m_address;
      if (host.empty() || host == address) {
        host = address;
        node.Answer(call, aReport);
        return forwards.at(0).m_header.m_knownServer;
      }
      node.Answer(call, kCompleted);
    }
    ADD_FAILURE() << "the host was not chosen";
    return std::optional<ServerReport>();
  };
  EXPECT_FALSE(forward(limited));
  EXPECT_EQ(forward(kBroken), limited.m_server);
  EXPECT_EQ(forward(kCompleted), limited.m_server);
  EXPECT_FALSE(forward(kCompleted));
}

}

}
