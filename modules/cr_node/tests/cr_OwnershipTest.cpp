#include <gtest/gtest.h>

#include "mesh_stand_in/mesh_stand_in.h"

namespace cr {

namespace {

constexpr std::uint64_t kSeed = 3;
const OperationName kBook = { "shop", "book" };

std::size_t
MostRuns(const TestMesh& aMesh)
{
  std::uint32_t most = 0;
  for (const auto& [key, runs] : aMesh.RunsByKey()) {
    most = std::max(most, runs);
  }
  return most;
}

HostName
OwnerOf(TestMesh& aMesh, const CustomerCall& aCall)
{
  const auto row = std::get<RowFound>(
    aMesh.Platform().Execute(ReadRequest{ OwnershipRow("shop") }));
  const auto map = DecodeOwnershipMap(row.m_row->m_value);
  return map->Find(PartitionOf(*aCall.m_key), *KeyTimestamp(*aCall.m_key))
    ->m_owner.m_host;
}

TEST(Ownership, ResendAtAnotherNodeGetsTheStoredAnswer)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  const CustomerCall call = mesh.MakeCall(kBook);
  mesh.Call("stock-1", call);
  mesh.RunFor(Seconds(1));
  mesh.Call("price-2", call);
  mesh.RunFor(Seconds(1));
  ASSERT_EQ(mesh.Answers().size(), 2U);
  EXPECT_EQ(mesh.Answers().back().m_report.m_outcome, Outcome::Completed);
  EXPECT_EQ(mesh.Answers().front().m_payload->m_body,
            mesh.Answers().back().m_payload->m_body);
  EXPECT_EQ(MostRuns(mesh), 1U);
}

TEST(Ownership, ResendDuringTheRunWaitsForItsAnswer)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  const CustomerCall call = mesh.MakeCall(kBook);
  mesh.Call("stock-1", call);
  mesh.RunFor(Milliseconds(3));
  mesh.DisconnectCustomer(call.m_request);
  mesh.Call("price-2", call);
  mesh.RunFor(Seconds(1));
  EXPECT_EQ(mesh.Answers().back().m_report.m_outcome, Outcome::Completed);
  EXPECT_EQ(MostRuns(mesh), 1U);
}

TEST(Ownership, KeyWithAnotherPayloadIsRefused)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  CustomerCall call = mesh.MakeCall(kBook);
  mesh.Call("stock-1", call);
  mesh.RunFor(Seconds(1));
  call.m_payload = std::make_shared<Payload>(Payload{ "text/plain", "other" });
  mesh.Call("stock-1", call);
  mesh.RunFor(Seconds(1));
  EXPECT_EQ(mesh.Answers().back().m_report.m_reason, Reason::KeyReused);
  EXPECT_EQ(mesh.Answers().back().m_payload, nullptr);
}

TEST(Ownership, CrashedOwnersKeysAreUnknownAndNeverRunAgain)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  const CustomerCall call = mesh.MakeCall(kBook);
  mesh.Call("stock-1", call);
  mesh.RunFor(Seconds(1));
  mesh.RestartNode(OwnerOf(mesh, call));
  mesh.RunFor(Seconds(2));
  for (const char* host : { "stock-1", "shop-1", "shop-2" }) {
    mesh.Call(host, call);
    mesh.RunFor(Seconds(4));
    EXPECT_EQ(mesh.Answers().back().m_report.m_outcome, Outcome::Unknown);
  }
  EXPECT_EQ(MostRuns(mesh), 1U);
}

TEST(Ownership, OrdersCompleteThroughTenMinutesWithoutStore)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  mesh.Faults().m_platformDown = true;
  std::size_t sent = 0;
  for (int number = 0; number < 120; ++number, ++sent) {
    mesh.Call("stock-1", mesh.MakeCall(kBook));
    mesh.RunFor(Seconds(5));
  }
  std::size_t completed = 0;
  for (const MeshAnswer& answer : mesh.Answers()) {
    completed += answer.m_report.m_outcome == Outcome::Completed ? 1 : 0;
  }
  EXPECT_EQ(completed, sent);
}

TEST(Ownership, LeavingOwnerTransfersItsPartitions)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  mesh.LeaveServer("shop-1");
  mesh.RunFor(Seconds(10));
  for (int number = 0; number < 50; ++number) {
    const CustomerCall call = mesh.MakeCall(kBook);
    EXPECT_EQ(OwnerOf(mesh, call), "shop-2");
    mesh.Call("stock-1", call);
    mesh.RunFor(Milliseconds(100));
    EXPECT_EQ(mesh.Answers().back().m_report.m_outcome, Outcome::Completed);
  }
}

TEST(Ownership, UnreachableOwnerCausesAtMostOneReadPerSecondAtEachNode)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  mesh.RunFor(Seconds(30));
  mesh.Faults().m_unreachable.insert("shop-1");
  const StoreLoad before = mesh.StoreLoads(StoreClient::Ownership);
  for (int number = 0; number < 500; ++number) {
    mesh.Call("stock-1", mesh.MakeCall(kBook));
    mesh.RunFor(Milliseconds(20));
  }
  const StoreLoad after = mesh.StoreLoads(StoreClient::Ownership);
  // One read per second for 10 s at one node; the other five read at their
  // regular interval.
  EXPECT_LE(after.m_reads - before.m_reads, 10U + 5U * 4U);
}

TEST(Ownership, CallOfServiceWithoutOwnersEndsAtItsDeadline)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  std::vector<ServiceFileText> files = BookingGraph();
  files.push_back({ "refund.json", R"({ "service": "refund", "operations": {
    "pay": { "importance": "protected", "patience_ms": 2000 } } })" });
  mesh.PublishFiles(files, "test");
  mesh.RunFor(Seconds(10));
  mesh.Call("stock-1", mesh.MakeCall({ "refund", "pay" }));
  mesh.RunFor(Seconds(1));
  EXPECT_TRUE(mesh.Answers().empty());
  mesh.RunFor(Seconds(3));
  ASSERT_EQ(mesh.Answers().size(), 1U);
  EXPECT_EQ(mesh.Answers().back().m_report.m_outcome, Outcome::Unknown);
}

TEST(Ownership, BirthFarInTheFutureIsRefusedAsNotRun)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  CustomerCall call = mesh.MakeCall(kBook);
  call.m_key = MakeIdempotencyKey(*KeyTimestamp(*call.m_key) + 120'000, 1, 2);
  mesh.Call("stock-1", call);
  mesh.RunFor(Seconds(1));
  EXPECT_EQ(mesh.Answers().back().m_report.m_outcome, Outcome::NotRun);
  EXPECT_EQ(mesh.Answers().back().m_report.m_reason, Reason::KeyTooEarly);
}

}

}
