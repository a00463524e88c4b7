#include <gtest/gtest.h>

#include "tests/cr_RelayTestMesh.h"

namespace cr {

namespace {

/* Requests in 4 s that the users accept at a server with the rate limit. */
std::size_t
AllowedArrivals(double aRateLimit)
{
  return static_cast<std::size_t>(1.5 * 4 * aRateLimit) + 5;
}

RouteDescription
RouteWithPriority(const std::string& aName, std::uint32_t aPriority)
{
  RouteDescription route = RelayTestNode::Route("orders", true);
  route.m_name = "route-" + aName;
  route.m_prefix = "/" + aName + "/";
  route.m_priority = aPriority;
  return route;
}

struct Mesh : RelayTestMesh
{
  explicit Mesh(std::size_t aHosts = 5)
    : RelayTestMesh(
        aHosts,
        { RouteWithPriority("urgent", 0), RouteWithPriority("browse", 2) })
  {
  }

  void SetLimits(std::size_t aFirst, double aRateLimit)
  {
    for (std::size_t host = aFirst; host < m_hosts.size(); ++host) {
      m_hosts[host].m_condition.m_rateLimit = aRateLimit;
    }
  }

  void ExpectLimitsHold(std::size_t aFirst, Instant aSince)
  {
    for (std::size_t host = aFirst; host < m_hosts.size(); ++host) {
      const double limit = *m_hosts[host].m_condition.m_rateLimit;
      EXPECT_LE(MaxArrivals(host, aSince), AllowedArrivals(limit))
        << "host " << host;
    }
  }
};

/* Incident LIMIT: four of five servers name limits below their traffic. */
TEST(RelayServerCondition, ServersGetNoMoreThanTheRateLimitThatTheyName)
{
  Mesh mesh;
  mesh.SendAtRate(120, "/browse/1", Seconds(20));
  mesh.Run(Seconds(4));
  mesh.SetLimits(1, 16);
  const Instant bindsAt = mesh.m_now + Seconds(1);
  mesh.Run(Seconds(20));
  mesh.ExpectLimitsHold(1, bindsAt);
}

TEST(RelayServerCondition, RequestsAboveALimitAreServedElsewhere)
{
  Mesh mesh;
  mesh.SetLimits(1, 16);
  mesh.SendAtRate(120, "/browse/1", Seconds(20));
  mesh.Run(Seconds(24));
  EXPECT_GE(mesh.m_served, 2400 * 97 / 100);
}

/* Entries hear from servers with low limits only now and then. */
TEST(RelayServerCondition, LowLimitsDoNotKeepRequestsFromAServerWithRoom)
{
  Mesh mesh(12);
  for (Mesh::Host& host : mesh.m_hosts) {
    host.m_serviceTime = Milliseconds(600);
  }
  // The servers without a limit run 76 requests per second each.
  mesh.SendAtRate(220, "/browse/1", Seconds(24));
  mesh.Run(Seconds(4));
  mesh.SetLimits(3, 5);
  mesh.Run(Seconds(2));
  mesh.m_served = 0;
  mesh.Run(Seconds(18));
  EXPECT_GE(mesh.m_served, 220 * 17 * 95 / 100);
}

/* The process that knew the limit restarts; the other hosts stay bound. */
TEST(RelayServerCondition, RestartedGateKeepsTheRateLimit)
{
  Mesh mesh;
  mesh.SetLimits(0, 4);
  for (Mesh::Host& host : mesh.m_hosts) {
    host.m_serviceTime = Seconds(2);
  }
  mesh.SendAtRate(400, "/browse/1", Seconds(30));
  mesh.Run(Seconds(10));
  for (std::size_t host = 0; host < 3; ++host) {
    mesh.m_hosts[host].m_arrivals.clear();
    mesh.Stop(host);
    mesh.Run(Milliseconds(500));
    mesh.Start(host);
    mesh.Run(Seconds(5));
    EXPECT_LE(mesh.MaxArrivals(host, Instant::min()), AllowedArrivals(4))
      << "host " << host;
  }
}

TEST(RelayServerCondition, WhatFitsALimitIsServedMostUrgentFirst)
{
  Mesh mesh;
  mesh.SetLimits(0, 20);
  mesh.SendAtRate(60, "/urgent/1", Seconds(30));
  mesh.SendAtRate(140, "/browse/1", Seconds(30));
  mesh.Run(Seconds(10));
  mesh.m_served = 0;
  mesh.m_servedByTarget.clear();
  mesh.Run(Seconds(20));
  EXPECT_GE(mesh.m_served, 20 * 5 * 20 * 85 / 100);
  EXPECT_GE(mesh.m_servedByTarget["/urgent/1"], 60 * 20 * 95 / 100);
}

TEST(RelayServerCondition, LimitEndsWhenTheServerNamesItNoMore)
{
  Mesh mesh;
  mesh.SetLimits(0, 10);
  mesh.SendAtRate(150, "/browse/1", Seconds(30));
  mesh.Run(Seconds(10));
  for (Mesh::Host& host : mesh.m_hosts) {
    host.m_condition.m_rateLimit.reset();
  }
  mesh.Run(Seconds(5));
  mesh.m_served = 0;
  mesh.Run(Seconds(10));
  EXPECT_GE(mesh.m_served, 150 * 10 * 90 / 100);
}

TEST(RelayServerCondition, LimitBelowOneRequestPerSecondLetsTheServerRecover)
{
  Mesh mesh;
  mesh.SetLimits(0, 0);
  mesh.SendAtRate(100, "/browse/1", Seconds(20));
  mesh.Run(Seconds(10));
  mesh.ExpectLimitsHold(0, mesh.m_now - Seconds(8));
  for (Mesh::Host& host : mesh.m_hosts) {
    host.m_condition.m_rateLimit.reset();
  }
  mesh.m_served = 0;
  mesh.Run(Seconds(10));
  EXPECT_GE(mesh.m_served, 100U);
}

/* Returns the arrivals at the server after the time. */
std::size_t
ArrivalsSince(const Mesh::Host& aHost, Instant aTime)
{
  return static_cast<std::size_t>(std::count_if(
    aHost.m_arrivals.begin(), aHost.m_arrivals.end(), [&](const auto& aOne) {
      return aOne.m_time > aTime;
    }));
}

TEST(RelayServerCondition, ServerThatSaysItLeavesGetsNoNewRequests)
{
  Mesh mesh;
  mesh.SendAtRate(100, "/browse/1", Seconds(10));
  mesh.Run(Seconds(2));
  mesh.m_hosts[0].m_condition.m_isLeaving = true;
  mesh.Run(Seconds(1));
  const Instant bound = mesh.m_now;
  mesh.Run(Seconds(7));
  EXPECT_EQ(ArrivalsSince(mesh.m_hosts[0], bound), 0U);
  EXPECT_GE(mesh.m_served, 970U);
}

/* The server has deregistered, and its health answers are wrong. Hosts that
   passed on its answers stay bound when its node restarts. */
TEST(RelayServerCondition, RestartedGateStaysClosedForALeavingServer)
{
  Mesh mesh;
  mesh.SendAtRate(200, "/browse/1", Seconds(20));
  mesh.Run(Seconds(2));
  mesh.m_hosts[0].m_hasFalseHealth = true;
  mesh.m_hosts[0].m_condition.m_isLeaving = true;
  mesh.Run(Seconds(3));
  mesh.Stop(0);
  mesh.Run(Milliseconds(500));
  mesh.Start(0, false);
  const Instant restarted = mesh.m_now;
  mesh.Run(Seconds(10));
  std::size_t fromOthers = 0;
  for (const auto& arrival : mesh.m_hosts[0].m_arrivals) {
    fromOthers += arrival.m_time > restarted && arrival.m_origin != 0 ? 1 : 0;
  }
  EXPECT_EQ(fromOthers, 0U);
}

TEST(RelayServerCondition, AnotherStartOfALeavingServerIsUsed)
{
  Mesh mesh;
  mesh.SendAtRate(100, "/browse/1", Seconds(30));
  mesh.Run(Seconds(2));
  mesh.m_hosts[0].m_condition.m_isLeaving = true;
  mesh.Run(Seconds(2));
  // The same name, so that only the start time tells the two apart.
  mesh.m_hosts[0].m_condition.m_isLeaving = false;
  mesh.m_hosts[0].m_serverStart = 2000;
  mesh.m_hosts[0].m_sequence = 0;
  mesh.Announce(0);
  const Instant replaced = mesh.m_now;
  mesh.Run(Seconds(10));
  EXPECT_GT(ArrivalsSince(mesh.m_hosts[0], replaced), 50U);
}

}

}
