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
  report.m_hasReached = aHasReached;
  return report;
}

const RelayReport kCompleted = Report(Outcome::Completed, Reason::None, true);
const RelayReport kLeaving = Report(Outcome::NotRun, Reason::Leaving, false);
const RelayReport kFull = Report(Outcome::NotRun, Reason::Overloaded, false);
const RelayReport kShed = Report(Outcome::NotRun, Reason::ServerFailed, true);
const RelayReport kBroken =
  Report(Outcome::Unknown, Reason::ConnectionLost, true);

/* A node that knows a safe and an unsafe route to four other hosts. */
struct Entry : RelayTestNode
{
  Entry()
  {
    AdoptRoutes(3, { Route("status", true), Route("booking", false) });
    AdoptNodes("status", { "host-2", "host-3", "host-4", "host-5" });
    AdoptOther();
    // Repeats are a share of requests.
    for (int request = 0; request < 20; ++request) {
      Answer(Request("/status/1"), kCompleted);
      Answer(Request("/booking/1"), kCompleted);
    }
    Take<RelayAnswer>();
    Take<ForwardRequest>();
  }

  void Answer(CallId aCall, const RelayReport& aReport)
  {
    Feed(ForwardAnswered{ aCall, aReport });
  }

  std::string OneHost()
  {
    const auto forwards = Take<ForwardRequest>();
    EXPECT_EQ(forwards.size(), 1U);
    return forwards.empty() ? "" : forwards.front().m_peer.m_address;
  }

  unsigned OneStatus()
  {
    const auto refusals = Take<RefuseRequest>();
    EXPECT_EQ(refusals.size(), 1U);
    return refusals.empty() ? 0 : refusals.front().m_status;
  }

private:
  void AdoptOther()
  {
    RowChanges changes;
    changes.m_version = 2;
    for (const char* host : { "host-6", "host-7" }) {
      changes.m_changes.push_back(
        { { host, EncodeNodeRow(ReadyRow(host, "booking")), 2 }, false });
    }
    for (const auto& call : Take<RelayCallStore>()) {
      const auto* watch = std::get_if<WatchRequest>(&call.m_request);
      if (watch != nullptr && watch->m_table == kNodeTable) {
        Feed(RelayStoreAnswered{ call.m_id, changes });
      }
    }
  }
};

TEST(RelayEntry, AnsweredRequestsAreRelayedOnce)
{
  Entry node;
  const CallId call = node.Request("/status/9");
  EXPECT_FALSE(node.OneHost().empty());
  node.Answer(call, kCompleted);
  node.Answer(call, kCompleted);
  EXPECT_EQ(node.Take<RelayAnswer>().size(), 1U);
}

TEST(RelayEntry, WithoutRoutesNobodyIsToldThatARouteIsMissing)
{
  RelayTestNode node;
  node.Request("/status/9");
  const auto refusals = node.Take<RefuseRequest>();
  ASSERT_EQ(refusals.size(), 1U);
  EXPECT_EQ(refusals[0].m_status, kUnavailable);
  EXPECT_TRUE(refusals[0].m_retryAfter);
  node.AdoptRoutes(1, { RelayTestNode::Route("status", true) });
  node.Request("/elsewhere/9");
  EXPECT_EQ(node.Take<RefuseRequest>().at(0).m_status, kNotFound);
}

TEST(RelayEntry, ALeavingHostCostsNoAttemptAndNoRepeat)
{
  Entry node;
  const CallId call = node.Request("/booking/9");
  const std::string first = node.OneHost();
  node.Answer(call, kLeaving);
  EXPECT_NE(node.OneHost(), first);
  node.Answer(call, kCompleted);
  EXPECT_EQ(node.Take<RelayAnswer>().size(), 1U);
}

TEST(RelayEntry, AFullGateIsNoReasonToTryAgainForACustomer)
{
  Entry node;
  const CallId call = node.Request("/status/9");
  node.OneHost();
  node.Answer(call, kFull);
  EXPECT_TRUE(node.Take<ForwardRequest>().empty());
  const auto refusals = node.Take<RefuseRequest>();
  ASSERT_EQ(refusals.size(), 1U);
  EXPECT_EQ(refusals[0].m_status, kUnavailable);
  ASSERT_TRUE(refusals[0].m_retryAfter);
  EXPECT_GT(*refusals[0].m_retryAfter, Duration::zero());
  EXPECT_LE(*refusals[0].m_retryAfter, Seconds(5) / 3);
}

TEST(RelayEntry, WorkThatHasBegunIsTriedAtOneMoreGate)
{
  Entry node;
  RelayReport called = kCompleted;
  called.m_isCalledRoute = true;
  const CallId before = node.Request("/status/8");
  node.OneHost();
  node.Answer(before, called);
  const CallId call = node.Request("/status/9");
  const std::string first = node.OneHost();
  node.Answer(call, kFull);
  EXPECT_NE(node.OneHost(), first);
  node.Answer(call, kFull);
  EXPECT_EQ(node.OneStatus(), kUnavailable);
}

TEST(RelayEntry, AnUnsafeRequestIsSentAgainOnlyAfterProofThatItDidNotRun)
{
  Entry node;
  const CallId shed = node.Request("/booking/1");
  const std::string first = node.OneHost();
  node.Answer(shed, kShed);
  EXPECT_NE(node.OneHost(), first);
  node.Answer(shed, kBroken);
  EXPECT_TRUE(node.Take<ForwardRequest>().empty());
  EXPECT_EQ(node.OneStatus(), kBadGateway);

  const CallId lost = node.Request("/booking/2");
  node.OneHost();
  node.Answer(lost, kBroken);
  EXPECT_TRUE(node.Take<ForwardRequest>().empty());
  EXPECT_EQ(node.OneStatus(), kBadGateway);

  const CallId cut = node.Request("/booking/3");
  node.OneHost();
  node.Feed(ForwardFailed{ cut, true, false });
  EXPECT_TRUE(node.Take<ForwardRequest>().empty());
  EXPECT_EQ(node.OneStatus(), kBadGateway);

  const CallId unsent = node.Request("/booking/4");
  const std::string dead = node.OneHost();
  node.Feed(ForwardFailed{ unsent, false, false });
  EXPECT_NE(node.OneHost(), dead);
}

TEST(RelayEntry, AfterARunNoLaterRefusalSaysThatNothingRan)
{
  Entry node;
  const CallId call = node.Request("/status/9");
  node.OneHost();
  node.Answer(call, kBroken);
  do {
    node.Answer(call, kShed);
  } while (!node.Take<ForwardRequest>().empty());
  EXPECT_EQ(node.OneStatus(), kBadGateway);
}

TEST(RelayEntry, AServersErrorIsRelayedWhenTheRepeatFindsNoRoom)
{
  Entry node;
  RelayReport error = kCompleted;
  error.m_isServerError = true;
  const CallId call = node.Request("/status/9");
  node.OneHost();
  node.Answer(call, error);
  node.OneHost();
  node.Answer(call, kFull);
  EXPECT_EQ(node.Take<RelayAnswer>().size(), 1U);
  EXPECT_TRUE(node.Take<RefuseRequest>().empty());
}

TEST(RelayEntry, NothingIsRepeatedWhileTheWayIsOverloaded)
{
  Entry node;
  RelayReport error = kCompleted;
  error.m_isServerError = true;
  error.m_pathLoad = 1.2;
  const CallId call = node.Request("/status/9");
  node.OneHost();
  node.Answer(call, error);
  EXPECT_TRUE(node.Take<ForwardRequest>().empty());
  EXPECT_EQ(node.Take<RelayAnswer>().size(), 1U);
}

TEST(RelayEntry, TheTimeOverIsSaidAsSuch)
{
  Entry node;
  const CallId call = node.Request("/status/9");
  node.OneHost();
  node.m_now += Seconds(5);
  node.Feed(ForwardFailed{ call, true, true });
  EXPECT_EQ(node.OneStatus(), kGatewayTimeout);
}

TEST(RelayEntry, ACustomerThatLeavesCancelsTheRequest)
{
  Entry node;
  const CallId call = node.Request("/status/9");
  node.Feed(SenderGone{ call });
  EXPECT_EQ(node.Take<CancelForward>().size(), 1U);
  node.Answer(call, kCompleted);
  EXPECT_TRUE(node.Take<RelayAnswer>().empty());
}

TEST(RelayEntry, ARequestKeepsTheRouteThatItCameUnder)
{
  Entry node;
  const CallId call = node.Request("/status/9");
  node.OneHost();
  node.AdoptRoutes(4, { RelayTestNode::Route("booking", false) });
  node.Answer(call, kShed);
  EXPECT_FALSE(node.OneHost().empty());
  node.Request("/status/9");
  EXPECT_EQ(node.OneStatus(), kNotFound);
}

/* As on the day scale-1: customers give 5000 ms, of which one passes now and
   then on the way, and those that were refused come back with less. */
TEST(RelayEntry, CustomersThatComeBackAreKnownByTheTimeTheyHaveLeft)
{
  Entry node;
  RelayReport overloaded = kCompleted;
  overloaded.m_pathLoad = 2;
  int refusedNew = 0;
  int refusedLate = 0;
  int refusedReturning = 0;
  constexpr int rounds = 3000;
  const auto isRefused = [&](Duration aPatience) {
    const CallId call = node.Request("/status/9", aPatience);
    node.Answer(call, overloaded);
    node.Take<ForwardRequest>();
    return !node.Take<RefuseRequest>().empty();
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

/* As on the day scale-1, where all servers of the last service refuse a part of
   what arrives: a request that no server ran costs none of its attempts. */
TEST(RelayEntry, ARequestThatServersRefuseIsOfferedToTheOthers)
{
  Entry node;
  const CallId call = node.Request("/status/9");
  std::set<std::string> hosts;
  constexpr int servers = 4;
  for (int host = 0; host < servers; ++host) {
    hosts.insert(node.OneHost());
    node.Answer(call, kShed);
  }
  EXPECT_EQ(hosts.size(), static_cast<std::size_t>(servers));
  // Each has refused; the next may be one of them.
  EXPECT_FALSE(node.OneHost().empty());
  node.Answer(call, kCompleted);
  EXPECT_EQ(node.Take<RelayAnswer>().size(), 1U);
}

/* Whatever the nodes answer: one final answer, never more servers that may have
   run the request than attempts, few sends, and no second run of what may run
   once. */
RC_GTEST_PROP(RelayEntry, FinalAnswersAreTrue, ())
{
  Entry node;
  const bool isSafe = *rc::gen::arbitrary<bool>();
  const CallId call = node.Request(isSafe ? "/status/9" : "/booking/9");
  unsigned sends = 0;
  unsigned runs = 0;
  while (!node.Take<ForwardRequest>().empty()) {
    ++sends;
    RC_ASSERT(isSafe || runs == 0);
    node.m_now += Milliseconds(*rc::gen::inRange(0, 600));
    switch (*rc::gen::inRange(0, 7)) {
      case 0:
        node.Answer(call, kLeaving);
        break;
      case 1:
        node.Answer(call, kFull);
        break;
      case 2:
        node.Answer(call, kShed);
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
  const auto refusals = node.Take<RefuseRequest>();
  RC_ASSERT(refusals.size() + node.Take<RelayAnswer>().size() == 1U);
  RC_ASSERT(runs <= 2U);
  RC_ASSERT(sends <= 6U);
  for (const RefuseRequest& refusal : refusals) {
    RC_ASSERT((refusal.m_status == kUnavailable) == (runs == 0));
    RC_ASSERT(refusal.m_retryAfter.has_value() == (runs == 0));
  }
}

}

}
