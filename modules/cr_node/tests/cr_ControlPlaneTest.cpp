#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "mesh_stand_in/mesh_stand_in.h"

namespace cr {

namespace {

constexpr std::uint64_t kSeed = 7;
/* Brief: no new work within a few seconds; letter 1: in force within 5 s. */
constexpr Duration kLeavingTarget = Seconds(3);
constexpr Duration kInForceTarget = Seconds(5);

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
InForce(TestMesh& aMesh, const HostName& aHost)
{
  return aMesh.Node(aHost).Status().m_generation;
}

void
ExpectEverywhere(TestMesh& aMesh, Generation aGeneration)
{
  for (const HostName& host : Names()) {
    EXPECT_EQ(InForce(aMesh, host), aGeneration) << host;
  }
}

/* The booking graph with another patience, so that its objects differ. */
std::vector<ServiceFileText>
ChangedGraph(int aPatience)
{
  std::vector<ServiceFileText> files = BookingGraph();
  std::string& text = files.back().m_text;
  text.replace(text.find("500"), 3, std::to_string(aPatience));
  return files;
}

Generation
PublishChange(TestMesh& aMesh, int aPatience)
{
  const auto result = aMesh.PublishFiles(ChangedGraph(aPatience), "ops");
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

TEST(ControlPlane, AcceptedConfigurationIsInForceInTimeWithTheStoreLostAfter)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  mesh.RunFor(Seconds(20));
  const Generation generation = PublishChange(mesh, 501);
  ASSERT_EQ(generation, 2U);
  while (InForce(mesh, "shop-1") != generation &&
         InForce(mesh, "stock-2") != generation) {
    mesh.RunFor(Milliseconds(1));
  }
  mesh.Faults().m_platformDown = true;
  mesh.RunFor(kInForceTarget);
  ExpectEverywhere(mesh, generation);
}

TEST(ControlPlane, FreshNodeTakesTheConfigurationFromPeersWithTheStoreDown)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  ASSERT_EQ(PublishChange(mesh, 501), 2U);
  mesh.RunFor(Seconds(10));
  mesh.Faults().m_platformDown = true;
  mesh.RunFor(Seconds(30));
  mesh.RestartNode("price-1");
  mesh.RunFor(Seconds(10));
  EXPECT_EQ(InForce(mesh, "price-1"), 2U);
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

TEST(ControlPlane, HostsThatWerePartedCatchUpWithTheTableDown)
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

TEST(ControlPlane, OutageOfTheTableDropsNobody)
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

TEST(ControlPlane, DeadHostLapses)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  mesh.Faults().m_paused = { "shop-1" };
  mesh.RunFor(Seconds(120));
  EXPECT_EQ(mesh.Node("stock-1").Status().m_hosts["shop"], 1U);
  mesh.Faults().m_paused.clear();
  mesh.RunFor(Seconds(30));
  EXPECT_EQ(mesh.Node("stock-1").Status().m_hosts["shop"], 2U);
}

TEST(ControlPlane, NodeThatKnowsNobodyAsksAContact)
{
  NodeIdentity identity;
  identity.m_host = "new";
  identity.m_contacts = { { "127.0.0.1", 1 } };
  NodeDecisions node(identity);
  Actions actions;
  node.Handle(TimerDue{}, {}, actions);
  const auto asks = [](const Action& aAction) {
    const auto* rumour = std::get_if<SendRumour>(&aAction);
    return rumour != nullptr && rumour->m_rumour.m_wantsAll &&
           rumour->m_peer.m_port == 1;
  };
  EXPECT_TRUE(std::any_of(actions.begin(), actions.end(), asks));
}

/* The table is restored from an older copy: nodes keep what is in force. */
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

/* Under random faults, two or more at once, no node's generation goes down but
   by a restart; once they are over, all nodes have the newest. */
RC_GTEST_PROP(ControlPlaneProperty, GenerationInForceNeverGoesDown, ())
{
  TestMesh mesh(BookingHosts(), BookingGraph(), *rc::gen::inRange(1U, 1000U));
  Random random(*rc::gen::inRange(1U, 1000000U));
  std::map<HostName, Generation> last;
  Generation newest = 1;
  for (int step = 0; step < 60; ++step) {
    const HostName host = Names().at(random.Below(Names().size()));
    switch (random.Below(7)) {
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
        mesh.Faults().m_storeAnswerLossRate = random.Unit() / 2;
        break;
      default:
        newest = std::max(newest, PublishChange(mesh, 500 + step));
    }
    for (int tick = 0; tick < 20; ++tick) {
      mesh.RunFor(Milliseconds(static_cast<std::int64_t>(random.Below(100))));
      for (const HostName& name : Names()) {
        const Generation generation = InForce(mesh, name);
        RC_ASSERT(generation >= last[name]);
        RC_ASSERT(generation <= newest);
        last[name] = generation;
      }
    }
  }
  mesh.Faults() = {};
  mesh.RunFor(Seconds(15));
  for (const HostName& name : Names()) {
    RC_ASSERT(InForce(mesh, name) == newest);
    RC_ASSERT(mesh.Node(name).Status().m_hosts.at("shop") == 2U);
  }
}

}

}
