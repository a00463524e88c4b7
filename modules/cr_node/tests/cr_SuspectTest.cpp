#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "mesh_stand_in/mesh_stand_in.h"

namespace cr {

namespace {

/* Servers that one request may kill, over all resends. */
constexpr std::uint32_t kGreatestKills = 3;
constexpr int kShops = 8;

std::vector<MeshHost>
ManyShops()
{
  std::vector<MeshHost> hosts = BookingHosts();
  for (int number = 3; number <= kShops; ++number) {
    MeshHost host = hosts.front();
    host.m_host = "shop-" + std::to_string(number);
    hosts.push_back(host);
  }
  return hosts;
}

HostName
Shop(int aNumber)
{
  return "shop-" + std::to_string(1 + aNumber % kShops);
}

CustomerCall
MakePoison(TestMesh& aMesh)
{
  CustomerCall call = aMesh.MakeCall({ "shop", "browse" });
  call.m_payload = std::make_shared<Payload>(Payload{ "", "crash" });
  return call;
}

/* Sends the poisonous request at one node after the other, each as soon as the
   former answer is there, with innocent calls around it. */
std::uint32_t
KillsOf(std::uint64_t aSeed, int aResends, int aInnocents, Duration aPause)
{
  TestMesh mesh(ManyShops(), BookingGraph(), aSeed);
  const CustomerCall poison = MakePoison(mesh);
  for (int resend = 0; resend < aResends; ++resend) {
    for (int number = 0; number < aInnocents; ++number) {
      mesh.Call(Shop(number), mesh.MakeCall({ "shop", "browse" }));
    }
    mesh.Call(Shop(resend + static_cast<int>(aSeed % kShops)), poison);
    mesh.RunFor(aPause);
  }
  mesh.RunFor(Seconds(10));
  return mesh.Crashes();
}

TEST(Suspects, ResendsAtOtherNodesKillFewServers)
{
  const std::uint32_t kills = KillsOf(1, 20, 0, Milliseconds(20));
  EXPECT_GE(kills, 1U);
  EXPECT_LE(kills, kGreatestKills);
}

RC_GTEST_PROP(SuspectsProperty, KillsStayBoundedDuringSurge, ())
{
  const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
  const int resends = *rc::gen::inRange(1, 12);
  const int innocents = *rc::gen::inRange(0, 40);
  const Duration pause = Milliseconds(*rc::gen::inRange(5, 500));
  RC_ASSERT(KillsOf(seed, resends, innocents, pause) <= kGreatestKills);
}

TEST(Suspects, InnocentCallsBesideThePoisonComplete)
{
  TestMesh mesh(ManyShops(), BookingGraph(), 3);
  std::vector<CustomerCall> innocents;
  for (int number = 0; number < 40; ++number) {
    innocents.push_back(mesh.MakeCall({ "shop", "browse" }));
    mesh.Call(Shop(number), innocents.back());
  }
  mesh.Call("shop-1", MakePoison(mesh));
  mesh.RunFor(Seconds(5));
  ASSERT_GE(mesh.Crashes(), 1U);
  std::size_t completed = 0;
  for (const MeshAnswer& answer : mesh.Answers()) {
    completed += answer.m_report.m_outcome == Outcome::Completed ? 1 : 0;
  }
  EXPECT_GE(completed, innocents.size() * 9 / 10);
  for (int number = 0; number < 40; ++number) {
    mesh.Call(Shop(number + 3), innocents.at(number));
  }
  mesh.RunFor(Seconds(5));
  std::size_t refused = 0;
  for (const MeshAnswer& answer : mesh.Answers()) {
    refused += answer.m_report.m_reason == Reason::Suspect ? 1 : 0;
  }
  EXPECT_LE(refused, 1U);
}

}

}
