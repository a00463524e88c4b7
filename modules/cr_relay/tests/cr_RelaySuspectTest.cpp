#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/cr_RelayTestMesh.h"

namespace cr {

namespace {

constexpr std::size_t kHosts = 5;
/* The project's bound: servers that one request crashes while its repeats do
   not overlap. */
constexpr std::size_t kMaxCrashes = 3;
/* The users' bound: runs of a request that begin later than this time after it
   crashed the third server. */
constexpr Duration kNewsTime = Seconds(3);
constexpr std::size_t kMaxLateRuns = 3;

struct Mesh : RelayTestMesh
{
  explicit Mesh(bool aIsIdempotent = true, std::uint32_t aAttempts = 3)
    : RelayTestMesh(kHosts, { Route(aIsIdempotent, aAttempts) })
  {
  }

  static RouteDescription Route(bool aIsIdempotent, std::uint32_t aAttempts)
  {
    RouteDescription route = RelayTestNode::Route("orders", aIsIdempotent);
    route.m_attempts = aAttempts;
    return route;
  }

  /** Sends a request that crashes servers at random hosts, each time as a new
      one. */
  void Repeat(const std::string& aTarget, double aRate, Duration aTime)
  {
    m_crashingTargets.insert(aTarget);
    SendAtRate(aRate, aTarget, aTime);
  }

  /** Sends different requests to random hosts. */
  void SendOthers(double aRate, Duration aTime)
  {
    const auto count = static_cast<int>(aRate * ToSeconds(aTime));
    for (int number = 0; number < count; ++number) {
      Send(m_random.NextBelow(m_hosts.size()),
           "/orders/" + std::to_string(m_others++),
           Scale(aTime, m_random.NextDouble()));
    }
  }

  std::size_t Crashes(const std::string& aTarget)
  {
    return m_crashes[aTarget].size();
  }

  std::size_t LateRuns(const std::string& aTarget)
  {
    const auto& crashes = m_crashes[aTarget];
    return crashes.size() < kMaxCrashes
             ? 0
             : CountRuns(aTarget, crashes[kMaxCrashes - 1] + kNewsTime);
  }

  int m_others = 0;
  Random m_random{ 11 };
};

/* Incident BUDGET: repeats come under new identifiers, at any node. */
TEST(RelaySuspect, RequestUnderWhichServersCrashedIsSentToFewServers)
{
  for (const bool isIdempotent : { true, false }) {
    Mesh mesh(isIdempotent);
    mesh.SendOthers(100, Seconds(30));
    mesh.Repeat("/orders/bad", 2, Seconds(30));
    mesh.Run(Seconds(36));
    EXPECT_GE(mesh.Crashes("/orders/bad"), 1U);
    EXPECT_LE(mesh.Crashes("/orders/bad"), kMaxCrashes);
    EXPECT_EQ(mesh.LateRuns("/orders/bad"), 0U);
    EXPECT_GE(mesh.m_served, 3000U * 95 / 100);
  }
}

TEST(RelaySuspect, OverlappingRepeatsAreSentToFewServersAfterTheThirdCrash)
{
  Mesh mesh;
  mesh.SendOthers(100, Seconds(30));
  mesh.Repeat("/orders/bad", 30, Seconds(30));
  mesh.Run(Seconds(36));
  EXPECT_LE(mesh.LateRuns("/orders/bad"), kMaxLateRuns);
  EXPECT_GE(mesh.m_served, 3000U * 90 / 100);
}

TEST(RelaySuspect, SeveralRequestsThatCrashServersAreEachRecognised)
{
  Mesh mesh;
  mesh.SendOthers(100, Seconds(40));
  for (const char* target :
       { "/orders/bad1", "/orders/bad2", "/orders/bad3" }) {
    mesh.Repeat(target, 2, Seconds(40));
  }
  mesh.Run(Seconds(46));
  for (const char* target :
       { "/orders/bad1", "/orders/bad2", "/orders/bad3" }) {
    EXPECT_LE(mesh.LateRuns(target), kMaxLateRuns) << target;
  }
  EXPECT_GE(mesh.m_served, 4000U * 85 / 100);
}

/* The common requests run beside each crash; they complete elsewhere. */
TEST(RelaySuspect, CommonRequestBesideCrashesThatAreNotItsOwnIsServed)
{
  Mesh mesh;
  mesh.SendAtRate(60, "/orders/common", Seconds(40));
  for (const char* target :
       { "/orders/bad1", "/orders/bad2", "/orders/bad3" }) {
    mesh.Repeat(target, 1, Seconds(40));
  }
  // Servers also crash for other reasons.
  for (std::size_t round = 0; round < 8; ++round) {
    mesh.Run(Seconds(5));
    mesh.CrashServer(round % kHosts);
  }
  mesh.Run(Seconds(6));
  EXPECT_GE(mesh.m_servedByTarget["/orders/common"], 2400U * 90 / 100);
}

/* Each node is killed and started again after it has heard of the request. */
TEST(RelaySuspect, RestartedNodesKnowTheRequest)
{
  Mesh mesh;
  mesh.SendOthers(100, Seconds(40));
  mesh.Repeat("/orders/bad", 2, Seconds(40));
  mesh.Run(Seconds(10));
  const std::size_t before = mesh.Crashes("/orders/bad");
  for (std::size_t host = 0; host < kHosts; ++host) {
    mesh.Stop(host);
    mesh.Run(Milliseconds(500));
    mesh.Start(host);
    mesh.Run(Seconds(3));
  }
  mesh.Run(Seconds(20));
  EXPECT_LE(before, kMaxCrashes);
  EXPECT_EQ(mesh.Crashes("/orders/bad"), before);
}

TEST(RelaySuspect, RequestIsRecognisedWhileThePlatformIsAway)
{
  Mesh mesh;
  mesh.m_isPlatformAway = true;
  mesh.SendOthers(100, Seconds(20));
  mesh.Repeat("/orders/bad", 2, Seconds(20));
  mesh.Run(Seconds(26));
  EXPECT_LE(mesh.Crashes("/orders/bad"), kMaxCrashes);
}

RC_GTEST_PROP(RelaySuspectProperty, FewRunsFollowTheThirdCrash, ())
{
  const auto count = *rc::gen::inRange(1, 4);
  const auto rate = *rc::gen::inRange(1, 20);
  const auto others = *rc::gen::inRange(0, 200);
  const auto attempts = *rc::gen::inRange<std::uint32_t>(1, 4);
  Mesh mesh(*rc::gen::arbitrary<bool>(), attempts);
  mesh.SendOthers(others, Seconds(20));
  for (int number = 0; number < count; ++number) {
    mesh.Repeat("/orders/bad" + std::to_string(number), rate, Seconds(20));
  }
  mesh.Run(Seconds(26));
  for (int number = 0; number < count; ++number) {
    RC_ASSERT(mesh.LateRuns("/orders/bad" + std::to_string(number)) <=
              kMaxLateRuns);
  }
}

}

}
