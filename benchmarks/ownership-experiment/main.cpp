/* Measures at-most-once execution in virtual time, with fixed seeds. Prints one
   line for each figure: name, value, unit, target, pass or fail. */

#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "mesh_stand_in/mesh_stand_in.h"

namespace cr {

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr double kFleet = 910.0;
constexpr double kStoreWrites = 300.0;
constexpr double kStoreReads = 2000.0;
const OperationName kBook = { "shop", "book" };

/* Orders sent to a mesh, with what their customers were told. */
class Orders
{
public:
  explicit Orders(TestMesh& aMesh)
    : m_mesh(aMesh)
  {
  }

  void Send(const HostName& aHost)
  {
    const CustomerCall call = m_mesh.MakeCall(kBook);
    m_calls[call.m_request] = call;
    m_mesh.Call(aHost, call);
  }

  /* Sends every order without an answer "completed" or "not run" again. */
  void ResendUnknown(const HostName& aHost)
  {
    TakeAnswers();
    for (const RequestId& request : std::exchange(m_unknown, {})) {
      m_mesh.Call(aHost, m_calls.at(request));
    }
  }

  void TakeAnswers()
  {
    for (; m_next < m_mesh.Answers().size(); ++m_next) {
      const MeshAnswer& answer = m_mesh.Answers().at(m_next);
      const bool ran = m_mesh.Dispatches().contains(answer.m_request);
      switch (answer.m_report.m_outcome) {
        case Outcome::Completed:
          m_completed.insert(answer.m_request);
          m_unknown.erase(answer.m_request);
          break;
        case Outcome::NotRun:
          m_falseNotRun += ran ? 1 : 0;
          m_unknown.erase(answer.m_request);
          break;
        case Outcome::Unknown:
          m_unknown.insert(answer.m_request);
          break;
      }
    }
  }

  std::size_t Sent() const { return m_calls.size(); }
  std::size_t Completed() const { return m_completed.size(); }
  std::size_t Unknown() const { return m_unknown.size(); }
  std::size_t FalseNotRun() const { return m_falseNotRun; }

  std::size_t Duplicates() const
  {
    std::size_t duplicates = 0;
    for (const auto& [key, runs] : m_mesh.RunsByKey()) {
      duplicates += runs > 1 ? 1 : 0;
    }
    return duplicates;
  }

private:
  TestMesh& m_mesh;
  std::map<RequestId, CustomerCall> m_calls;
  std::size_t m_next = 0;
  std::set<RequestId> m_completed;
  std::set<RequestId> m_unknown;
  std::size_t m_falseNotRun = 0;
};

class Report
{
public:
  void AtMost(std::string_view aName,
              double aValue,
              std::string_view aUnit,
              double aTarget)
  {
    Print(aName, aValue, aUnit, aTarget, aValue <= aTarget);
  }

  void AtLeast(std::string_view aName,
               double aValue,
               std::string_view aUnit,
               double aTarget)
  {
    Print(aName, aValue, aUnit, aTarget, aValue >= aTarget);
  }

  bool HasFailed() const { return m_failed; }

private:
  void Print(std::string_view aName,
             double aValue,
             std::string_view aUnit,
             double aTarget,
             bool aPasses)
  {
    m_failed = m_failed || !aPasses;
    std::printf("%s %.6g %s %.6g %s\n",
                std::string(aName).c_str(),
                aValue,
                std::string(aUnit).c_str(),
                aTarget,
                aPasses ? "pass" : "fail");
  }

  bool m_failed = false;
};

double
Share(std::size_t aPart, std::size_t aWhole)
{
  return aWhole == 0 ? 0.0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

std::vector<MeshHost>
Hosts()
{
  std::vector<MeshHost> hosts = BookingHosts();
  for (const char* name : { "shop-3", "shop-4", "shop-5" }) {
    hosts.push_back({ name, "shop", "b" });
  }
  return hosts;
}

/* One order a second from the stores' nodes for the given time. */
void
SendSteadily(TestMesh& aMesh, Orders& aOrders, int aSeconds)
{
  for (int second = 0; second < aSeconds; ++second) {
    aOrders.Send(second % 2 == 0 ? "stock-1" : "stock-2");
    aMesh.RunFor(Seconds(1));
  }
  aOrders.TakeAnswers();
}

void
MeasureOutage(Report& aReport)
{
  TestMesh mesh(Hosts(), BookingGraph(), kSeed);
  Orders orders(mesh);
  mesh.Faults().m_platformDown = true;
  SendSteadily(mesh, orders, 600);
  mesh.RunFor(Seconds(5));
  orders.TakeAnswers();
  aReport.AtLeast("orders_completed_in_10_min_store_outage",
                  Share(orders.Completed(), orders.Sent()),
                  "share",
                  0.999);
}

void
MeasureCrash(Report& aReport)
{
  TestMesh mesh(Hosts(), BookingGraph(), kSeed + 1);
  Orders orders(mesh);
  SendSteadily(mesh, orders, 60);
  const std::size_t before = orders.Sent();
  mesh.RestartNode("shop-3");
  SendSteadily(mesh, orders, 900);
  mesh.RunFor(Seconds(5));
  orders.TakeAnswers();
  aReport.AtMost("orders_unknown_in_15_min_after_owner_crash",
                 Share(orders.Unknown(), orders.Sent() - before),
                 "share",
                 0.2);
  aReport.AtMost(
    "crash_duplicates", static_cast<double>(orders.Duplicates()), "keys", 0);
}

void
MeasureLeave(Report& aReport)
{
  TestMesh mesh(Hosts(), BookingGraph(), kSeed + 2);
  Orders orders(mesh);
  SendSteadily(mesh, orders, 30);
  const std::size_t before = orders.Sent();
  mesh.LeaveServer("shop-3");
  SendSteadily(mesh, orders, 120);
  mesh.RunFor(Seconds(5));
  orders.TakeAnswers();
  aReport.AtLeast("orders_completed_in_2_min_after_leave",
                  Share(orders.Completed() - before, orders.Sent() - before),
                  "share",
                  0.99);
}

/* Lost answers, a slow store that loses answers, pauses longer than the reach
   of a segment, restarts and leaves, with a resend of every unknown order. */
void
MeasureFaults(Report& aReport)
{
  std::size_t duplicates = 0;
  std::size_t falseNotRun = 0;
  std::size_t sent = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    TestMesh mesh(Hosts(), BookingGraph(), seed);
    Orders orders(mesh);
    mesh.Faults().m_answerLossRate = 0.1;
    mesh.Faults().m_storeAnswerLossRate = 0.3;
    const HostName paused = "shop-" + std::to_string(1 + seed % 5);
    const HostName restarted = "shop-" + std::to_string(1 + (seed + 1) % 5);
    const HostName leaving = "shop-" + std::to_string(1 + (seed + 2) % 5);
    SendSteadily(mesh, orders, 30);
    mesh.Faults().m_paused.insert(paused);
    SendSteadily(mesh, orders, 30);
    mesh.LeaveServer(leaving);
    SendSteadily(mesh, orders, 30);
    orders.ResendUnknown("price-1");
    mesh.RunFor(Seconds(800));
    orders.Send("price-2");
    mesh.Faults().m_paused.clear();
    mesh.RestartNode(restarted);
    orders.ResendUnknown("price-2");
    SendSteadily(mesh, orders, 30);
    orders.ResendUnknown("stock-1");
    mesh.RunFor(Seconds(10));
    orders.TakeAnswers();
    duplicates += orders.Duplicates();
    falseNotRun += orders.FalseNotRun();
    sent += orders.Sent();
  }
  aReport.AtLeast(
    "orders_sent_under_faults", static_cast<double>(sent), "orders", 1000);
  aReport.AtMost("keys_run_twice", static_cast<double>(duplicates), "keys", 0);
  aReport.AtMost(
    "false_not_run", static_cast<double>(falseNotRun), "orders", 0);
}

void
MeasureStoreLoad(Report& aReport)
{
  constexpr double seconds = 600.0;
  TestMesh mesh(Hosts(), BookingGraph(), kSeed + 3);
  mesh.RunFor(Seconds(120));
  const StoreLoad before = mesh.StoreLoads(StoreClient::Ownership);
  mesh.RunFor(Seconds(600));
  const StoreLoad after = mesh.StoreLoads(StoreClient::Ownership);
  // An upper bound: as if the owners had made all the requests.
  constexpr double nodes = 5.0;
  const double writes =
    static_cast<double>(after.m_writes - before.m_writes) / seconds / nodes;
  const double reads =
    static_cast<double>(after.m_reads - before.m_reads) / seconds / nodes;
  aReport.AtMost(
    "ownership_store_writes_910_nodes", writes * kFleet, "1/s", kStoreWrites);
  aReport.AtMost(
    "ownership_store_reads_910_nodes", reads * kFleet, "1/s", kStoreReads);
}

}

}

int
main()
{
  cr::Report report;
  cr::MeasureOutage(report);
  cr::MeasureCrash(report);
  cr::MeasureLeave(report);
  cr::MeasureFaults(report);
  cr::MeasureStoreLoad(report);
  return report.HasFailed() ? 1 : 0;
}
