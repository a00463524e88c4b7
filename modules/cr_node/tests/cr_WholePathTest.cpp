#include <gtest/gtest.h>

#include "mesh_stand_in/mesh_stand_in.h"

namespace cr {

namespace {

constexpr std::uint64_t kSeed = 1;

TEST(WholePath, BookingCompletesThroughThreeServices)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  const CustomerCall call = mesh.MakeCall({ "shop", "book" });
  mesh.Call("stock-2", call);
  mesh.RunFor(Seconds(1));
  ASSERT_EQ(mesh.Answers().size(), 1U);
  const MeshAnswer& answer = mesh.Answers().front();
  EXPECT_EQ(answer.m_report.m_outcome, Outcome::Completed);
  EXPECT_EQ(answer.m_payload->m_body,
            ToText(call.m_request) + " shop/book;price/quote;stock/count");
  EXPECT_EQ(mesh.Attempts().at(call.m_request), 3U);
}

TEST(WholePath, UnknownOperationIsNotRun)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  mesh.Call("shop-1", mesh.MakeCall({ "shop", "steal" }));
  mesh.RunFor(Seconds(1));
  ASSERT_EQ(mesh.Answers().size(), 1U);
  EXPECT_EQ(mesh.Answers().front().m_report.m_outcome, Outcome::NotRun);
  EXPECT_EQ(mesh.Answers().front().m_report.m_reason, Reason::UnknownService);
}

TEST(WholePath, NonIdempotentCallNeedsKey)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  CustomerCall call = mesh.MakeCall({ "shop", "book" });
  call.m_key.reset();
  mesh.Call("shop-1", call);
  mesh.RunFor(Seconds(1));
  ASSERT_EQ(mesh.Answers().size(), 1U);
  EXPECT_EQ(mesh.Answers().front().m_report.m_reason, Reason::KeyMissing);
}

TEST(WholePath, LeavingServerGetsNoNewWork)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  mesh.LeaveServer("shop-1");
  for (int number = 0; number < 20; ++number) {
    mesh.Call("stock-1", mesh.MakeCall({ "shop", "status" }));
  }
  mesh.RunFor(Seconds(1));
  ASSERT_EQ(mesh.Answers().size(), 20U);
  for (const MeshAnswer& answer : mesh.Answers()) {
    EXPECT_EQ(answer.m_report.m_outcome, Outcome::Completed);
  }
  EXPECT_EQ(mesh.Node("shop-1").Status().m_running, 0U);
}

TEST(WholePath, LostAnswersAreNeverReportedAsNotRun)
{
  TestMesh mesh(BookingHosts(), BookingGraph(), kSeed);
  mesh.Faults().m_answerLossRate = 0.5;
  for (int number = 0; number < 100; ++number) {
    mesh.Call("stock-1", mesh.MakeCall({ "shop", "book" }));
    mesh.RunFor(Milliseconds(20));
  }
  mesh.RunFor(Seconds(10));
  ASSERT_EQ(mesh.Answers().size(), 100U);
  std::size_t unknown = 0;
  for (const MeshAnswer& answer : mesh.Answers()) {
    if (answer.m_report.m_outcome == Outcome::NotRun) {
      EXPECT_FALSE(mesh.Dispatches().contains(answer.m_request));
    }
    unknown += answer.m_report.m_outcome == Outcome::Unknown ? 1 : 0;
  }
  EXPECT_GT(unknown, 0U);
}

}

}
