#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "mesh_stand_in/mesh_stand_in.h"

namespace cr {

namespace {

/* Maximum number of servers that one request may crash, over all resends. */
constexpr std::uint32_t kMaxCrashes = 3;
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
MakeCrashingCall(TestMesh& aMesh)
{
  CustomerCall call = aMesh.MakeCall({ "shop", "browse" });
  call.m_payload = std::make_shared<Payload>(Payload{ "", "crash" });
  return call;
}

/* Sends a request that crashes its server to one node after the other, with a
   pause between resends and other calls before each. Returns the number of
   crashes. */
std::uint32_t
CountCrashes(std::uint64_t aSeed,
             int aResends,
             int aOtherCalls,
             Duration aPause)
{
  TestMesh mesh(ManyShops(), BookingGraph(), aSeed);
  const CustomerCall crashing = MakeCrashingCall(mesh);
  for (int resend = 0; resend < aResends; ++resend) {
    for (int number = 0; number < aOtherCalls; ++number) {
      mesh.Call(Shop(number), mesh.MakeCall({ "shop", "browse" }));
    }
    mesh.Call(Shop(resend + static_cast<int>(aSeed % kShops)), crashing);
    mesh.RunFor(aPause);
  }
  mesh.RunFor(Seconds(10));
  return mesh.Crashes();
}

TEST(Suspects, ResendsAtOtherNodesCrashFewServers)
{
  const std::uint32_t crashes = CountCrashes(1, 20, 0, Milliseconds(20));
  EXPECT_GE(crashes, 1U);
  EXPECT_LE(crashes, kMaxCrashes);
}

RC_GTEST_PROP(SuspectsProperty, CrashesStayBoundedDuringSurge, ())
{
  const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
  const int resends = *rc::gen::inRange(1, 12);
  const int others = *rc::gen::inRange(0, 40);
  const Duration pause = Milliseconds(*rc::gen::inRange(5, 500));
  RC_ASSERT(CountCrashes(seed, resends, others, pause) <= kMaxCrashes);
}

TEST(Suspects, OtherCallsBesideTheCrashingCallComplete)
{
  TestMesh mesh(ManyShops(), BookingGraph(), 3);
  std::vector<CustomerCall> others;
  for (int number = 0; number < 40; ++number) {
    others.push_back(mesh.MakeCall({ "shop", "browse" }));
    mesh.Call(Shop(number), others.back());
  }
  mesh.Call("shop-1", MakeCrashingCall(mesh));
  mesh.RunFor(Seconds(5));
  ASSERT_GE(mesh.Crashes(), 1U);
  std::size_t completed = 0;
  for (const MeshAnswer& answer : mesh.Answers()) {
    completed += answer.m_report.m_outcome == Outcome::Completed ? 1 : 0;
  }
  EXPECT_GE(completed, others.size() * 9 / 10);
  for (int number = 0; number < 40; ++number) {
    mesh.Call(Shop(number + 3), others.at(number));
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
