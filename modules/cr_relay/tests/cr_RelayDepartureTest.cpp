#include <gtest/gtest.h>

#include "tests/cr_RelayTestMesh.h"

namespace cr {

namespace {

/* Three hosts. No request is on the way while a departure is announced, so no
   other node hears of it from a closed gate. */
struct Mesh : RelayTestMesh
{
  Mesh()
    : RelayTestMesh(3, { RelayTestNode::Route("orders", false) })
    , m_sequenceBefore(++m_hosts[0].m_sequence)
  {
    Depart(0);
    Run(Milliseconds(20));
  }

  /** Ends the node of the first host and starts it again a second later. */
  void Restart()
  {
    Stop(0);
    Run(Seconds(1));
    Start(0, false);
  }

  /** An announcement that the first server sent before its departure. */
  void AnnounceLate() { RelayTestMesh::AnnounceLate(0, m_sequenceBefore); }

  std::size_t CountArrivals(std::size_t aHost, Duration aTime)
  {
    m_hosts[aHost].m_arrivals.clear();
    SendAtRate(30, "/orders/1", aTime);
    Run(aTime);
    return m_hosts[aHost].m_arrivals.size();
  }

  const std::uint64_t m_sequenceBefore;
};

/* DRAIN: a node ended after it had acknowledged a departure, and an earlier
   announcement opened the gate of its next process. */
TEST(RelayDeparture, RestartedGateStaysClosedWhenAnAnnouncementArrivesLate)
{
  Mesh mesh;
  mesh.Restart();
  mesh.Run(Milliseconds(500));
  mesh.AnnounceLate();
  EXPECT_EQ(mesh.CountArrivals(0, Seconds(8)), 0U);
}

/* DRAIN: the announcement arrives before the node has read its row. */
TEST(RelayDeparture, GateDoesNotOpenBeforeTheNodeHasReadItsRow)
{
  Mesh mesh;
  mesh.Restart();
  mesh.AnnounceLate();
  EXPECT_EQ(mesh.CountArrivals(0, Seconds(8)), 0U);
}

/* DRAIN: the second process must hand the departure on to the third. */
TEST(RelayDeparture, DepartureOutlivesSeveralRestarts)
{
  Mesh mesh;
  for (int restart = 0; restart < 3; ++restart) {
    mesh.Restart();
    mesh.Run(Milliseconds(500));
  }
  mesh.AnnounceLate();
  EXPECT_EQ(mesh.CountArrivals(0, Seconds(8)), 0U);
}

/* DRAIN: after a power loss no node remembers anything. */
TEST(RelayDeparture, DepartureOutlivesARestartOfAllNodes)
{
  Mesh mesh;
  for (std::size_t host = 0; host < 3; ++host) {
    mesh.Stop(host);
  }
  mesh.Run(Seconds(1));
  for (std::size_t host = 0; host < 3; ++host) {
    mesh.Start(host, host != 0);
  }
  mesh.Run(Milliseconds(500));
  mesh.AnnounceLate();
  EXPECT_EQ(mesh.CountArrivals(0, Seconds(8)), 0U);
  EXPECT_GT(mesh.m_served, 0U);
}

/* DRAIN: false health answers must not open the gate either. */
TEST(RelayDeparture, RestartedGateStaysClosedThoughTheServerCallsItselfHealthy)
{
  Mesh mesh;
  mesh.m_hosts[0].m_hasFalseHealth = true;
  mesh.Restart();
  EXPECT_EQ(mesh.CountArrivals(0, Seconds(8)), 0U);
}

/* DRAIN: while the platform is away, the other nodes still send requests to the
   host, and only its server can tell whether it leaves. */
TEST(RelayDeparture, RestartedGateAsksTheServerWhileThePlatformIsAway)
{
  for (const bool hasDeparted : { false, true }) {
    RelayTestMesh mesh(3, { RelayTestNode::Route("orders", false) });
    mesh.m_isPlatformAway = true;
    mesh.m_hosts[0].m_hasDeparted = hasDeparted;
    mesh.Stop(0);
    mesh.Run(Milliseconds(500));
    mesh.Start(0, false);
    mesh.AnnounceLate(0, mesh.m_hosts[0].m_sequence);
    mesh.Run(Seconds(2));
    mesh.m_hosts[0].m_arrivals.clear();
    mesh.SendAtRate(30, "/orders/1", Seconds(4));
    mesh.Run(Seconds(4));
    EXPECT_EQ(mesh.m_hosts[0].m_arrivals.empty(), hasDeparted);
  }
}

TEST(RelayDeparture, LaterStartOfTheServerIsUsedAfterARestart)
{
  Mesh mesh;
  mesh.Restart();
  mesh.Run(Milliseconds(500));
  // The same name, so that only the start time tells the two apart.
  mesh.m_hosts[0].m_serverStart = 2000;
  mesh.m_hosts[0].m_hasDeparted = false;
  mesh.Announce(0);
  EXPECT_GT(mesh.CountArrivals(0, Seconds(4)), 10U);
}

/* The server of the first host starts again after its clock has stepped back.
 */
struct SteppedMesh : RelayTestMesh
{
  SteppedMesh()
    : RelayTestMesh(3, { RelayTestNode::Route("orders", false) })
  {
    m_hosts[0].m_serverStart -= 500;
    m_hosts[0].m_sequence = 0;
  }

  /** Returns the arrivals at the first server since its departure. */
  std::size_t ArrivalsAfterDeparture()
  {
    Depart(0);
    Run(Milliseconds(20));
    m_hosts[0].m_arrivals.clear();
    SendAtRate(30, "/orders/1", Seconds(6));
    Run(Seconds(6));
    return m_hosts[0].m_arrivals.size();
  }
};

/* DRAIN: all that the server said after its start was taken for stale, and its
   departure got 200 all the same. */
TEST(RelayDeparture, DepartureOfAStartAfterAClockStepClosesTheGate)
{
  SteppedMesh mesh;
  mesh.AnnounceRepeatedly(0, Seconds(6));
  mesh.Run(Seconds(6));
  EXPECT_EQ(mesh.ArrivalsAfterDeparture(), 0U);
  EXPECT_TRUE(mesh.m_hosts[0].m_isDepartureAcknowledged);
}

/* DRAIN: what is ignored must not be acknowledged. */
TEST(RelayDeparture, IgnoredDepartureIsNotAcknowledged)
{
  SteppedMesh mesh;
  EXPECT_GT(mesh.ArrivalsAfterDeparture(), 0U);
  EXPECT_FALSE(mesh.m_hosts[0].m_isDepartureAcknowledged);
  // It is repeated for some seconds.
  mesh.Depart(0);
  EXPECT_EQ(mesh.ArrivalsAfterDeparture(), 0U);
  EXPECT_TRUE(mesh.m_hosts[0].m_isDepartureAcknowledged);
}

}

}
