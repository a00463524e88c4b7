#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "mesh_stand_in/mesh_stand_in.h"

namespace cr {

namespace {

constexpr std::uint64_t kSeed = 7;
/* A leaving server must get no new work after a few seconds, and a new
   configuration must be active everywhere within 5 s. */
constexpr Duration kLeavingTarget = Seconds(3);
constexpr Duration kActivationTarget = Seconds(5);

std::vector<HostName>
Names()
{
  std::vector<HostName> names;
  for (const MeshHost& host : BookingHosts()) {
    names.push_back(host.m_host);
  }
  return names;
}

Generation
ActiveGeneration(TestMesh& aMesh, const HostName& aHost)
{
  return aMesh.Node(aHost).Status().m_generation;
}

void
ExpectEverywhere(TestMesh& aMesh, Generation aGeneration)
{
  for (const HostName& host : Names()) {
    EXPECT_EQ(ActiveGeneration(aMesh, host), aGeneration) << host;
  }
}

/* Returns the booking graph with another caller timeout, so that its objects
   differ. */
std::vector<ServiceFileText>
ChangedGraph(int aTimeout)
{
  std::vector<ServiceFileText> files = BookingGraph();
  std::string& text = files.back().m_text;
  text.replace(text.find("500"), 3, std::to_string(aTimeout));
  return files;
}

Generation
PublishChange(TestMesh& aMesh, int aTimeout)
{
  const auto result = aMesh.PublishFiles(ChangedGraph(aTimeout), "ops");
  const auto* published = std::get_if<Published>(&result);
  return published == nullptr ? 0 : published->m_generation;
}

TEST(ControlPlane, LeavingServerIsKnownEverywhereWithTheTableDown)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  mesh.Faults().m_platformDown = true;
  mesh.RunFor(Seconds(10));
  mesh.LeaveServer("shop-1");
  mesh.RunFor(kLeavingTarget);
  for (const HostName& host : Names()) {
    EXPECT_EQ(mesh.Node(host).Status().m_hosts["shop"], 1U) << host;
  }
}

TEST(ControlPlane, AcceptedConfigurationIsActiveInTimeWithTheStoreLostAfter)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  mesh.RunFor(Seconds(20));
  const Generation generation = PublishChange(mesh, 501);
  ASSERT_EQ(generation, 2U);
  while (ActiveGeneration(mesh, "shop-1") != generation &&
         ActiveGeneration(mesh, "stock-2") != generation) {
    mesh.RunFor(Milliseconds(1));
  }
  mesh.Faults().m_platformDown = true;
  mesh.RunFor(kActivationTarget);
  ExpectEverywhere(mesh, generation);
}

TEST(ControlPlane, NewNodeFetchesTheConfigurationFromPeersWithTheStoreDown)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  ASSERT_EQ(PublishChange(mesh, 501), 2U);
  mesh.RunFor(Seconds(10));
  mesh.Faults().m_platformDown = true;
  mesh.RunFor(Seconds(30));
  mesh.RestartNode("price-1");
  mesh.RunFor(Seconds(10));
  EXPECT_EQ(ActiveGeneration(mesh, "price-1"), 2U);
  EXPECT_EQ(mesh.Node("price-1").Status().m_hosts["shop"], 2U);
}

TEST(ControlPlane, RestartOfAllWithTheStoreDownWaitsForTheStore)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  mesh.Faults().m_platformDown = true;
  for (const HostName& host : Names()) {
    mesh.RestartNode(host);
  }
  mesh.RunFor(Seconds(60));
  ExpectEverywhere(mesh, 0);
  mesh.Faults().m_platformDown = false;
  mesh.RunFor(Seconds(10));
  ExpectEverywhere(mesh, 1);
}

TEST(ControlPlane, PartitionedHostsCatchUpWithTheTableDown)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  mesh.RunFor(Seconds(20));
  mesh.Faults().m_unreachable = { "shop-2" };
  const Generation generation = PublishChange(mesh, 501);
  mesh.RunFor(Milliseconds(1));
  mesh.Faults().m_paused = { "shop-2" };
  mesh.RunFor(Seconds(5));
  mesh.LeaveServer("price-1");
  mesh.Faults().m_platformDown = true;
  mesh.RunFor(Seconds(60));
  mesh.Faults().m_paused.clear();
  mesh.Faults().m_unreachable.clear();
  mesh.RunFor(Seconds(30));
  ExpectEverywhere(mesh, generation);
  EXPECT_EQ(mesh.Node("shop-2").Status().m_hosts["price"], 1U);
}

TEST(ControlPlane, TableOutageRemovesNoNode)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  mesh.Faults().m_platformDown = true;
  mesh.RunFor(Seconds(900));
  for (int second = 0; second < 120; ++second) {
    mesh.Faults().m_platformDown = second < 3;
    mesh.RunFor(Seconds(1));
    for (const HostName& host : Names()) {
      ASSERT_EQ(mesh.Node(host).Status().m_knownNodes, Names().size());
    }
  }
}

TEST(ControlPlane, UnresponsiveHostExpires)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  mesh.Faults().m_paused = { "shop-1" };
  mesh.RunFor(Seconds(120));
  EXPECT_EQ(mesh.Node("stock-1").Status().m_hosts["shop"], 1U);
  mesh.Faults().m_paused.clear();
  mesh.RunFor(Seconds(30));
  EXPECT_EQ(mesh.Node("stock-1").Status().m_hosts["shop"], 2U);
}

TEST(ControlPlane, NodeThatKnowsNoOtherRequestsACopyFromAContact)
{
  NodeIdentity identity;
  identity.m_host = "new";
  identity.m_contacts = { { "127.0.0.1", 1 } };
  NodeDecisions node(identity);
  Actions actions;
  node.Handle(TimerDue{}, {}, actions);
  const auto requestsCopy = [](const Action& aAction) {
    const auto* message = std::get_if<SendGossip>(&aAction);
    return message != nullptr && message->m_message.m_requestsAllRows &&
           message->m_peer.m_port == 1;
  };
  EXPECT_TRUE(std::any_of(actions.begin(), actions.end(), requestsCopy));
}

/* After the table is restored from an older copy, nodes keep their active
   configuration. */
TEST(ControlPlane, OlderHeadInTheTableIsNotAdopted)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  const auto older =
    std::get<RowFound>(mesh.Platform().Execute(ReadRequest{ HeadRow() }));
  ASSERT_EQ(PublishChange(mesh, 501), 2U);
  mesh.RunFor(Seconds(10));
  mesh.Platform().Execute(
    TransactRequest{ {}, { { HeadRow(), older.m_row->m_value } } });
  mesh.RunFor(Seconds(30));
  ExpectEverywhere(mesh, 2);
}

/* Under random faults, several at once, a node's generation decreases only by a
   restart. After the faults end, all nodes have the newest generation. */
RC_GTEST_PROP(ControlPlaneProperty, ActiveGenerationNeverDecreases, ())
{
  TestMesh mesh(BookingHosts(), BookingGraph(), *rc::gen::inRange(1U, 1000U));
  Random random(*rc::gen::inRange(1U, 1000000U));
  std::map<HostName, Generation> last;
  Generation newest = 1;
  for (int step = 0; step < 60; ++step) {
    const HostName host = Names().at(random.NextBelow(Names().size()));
    switch (random.NextBelow(7)) {
      case 0:
        mesh.Faults().m_platformDown = !mesh.Faults().m_platformDown;
        break;
      case 1:
        mesh.Faults().m_unreachable = { host };
        break;
      case 2:
        mesh.Faults().m_unreachable.clear();
        mesh.Faults().m_paused.clear();
        break;
      case 3:
        mesh.RestartNode(host);
        last[host] = 0;
        break;
      case 4:
        mesh.Faults().m_paused = { host };
        break;
      case 5:
        mesh.Faults().m_storeAnswerLossRate = random.NextDouble() / 2;
        break;
      default:
        newest = std::max(newest, PublishChange(mesh, 500 + step));
    }
    for (int tick = 0; tick < 20; ++tick) {
      mesh.RunFor(
        Milliseconds(static_cast<std::int64_t>(random.NextBelow(100))));
      for (const HostName& name : Names()) {
        const Generation generation = ActiveGeneration(mesh, name);
        RC_ASSERT(generation >= last[name]);
        RC_ASSERT(generation <= newest);
        last[name] = generation;
      }
    }
  }
  mesh.Faults() = {};
  mesh.RunFor(Seconds(15));
  for (const HostName& name : Names()) {
    RC_ASSERT(ActiveGeneration(mesh, name) == newest);
    RC_ASSERT(mesh.Node(name).Status().m_hosts.at("shop") == 2U);
  }
}

}

}
