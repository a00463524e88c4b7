/* Measures at-most-once execution in virtual time with fixed seeds. Prints one
   line per measure: name, value, unit, target, pass or fail. */

#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "mesh_stand_in/mesh_stand_in.h"

namespace cr {

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr double kFleetNodes = 910.0;
constexpr double kMaxStoreWritesPerSecond = 300.0;
constexpr double kMaxStoreReadsPerSecond = 2000.0;
const OperationName kBookOperation = { "shop", "book" };

/* Sends orders to a mesh and records the outcomes reported to customers. */
class OrderLog
{
public:
  explicit OrderLog(TestMesh& aMesh)
    : m_mesh(aMesh)
  {
  }

  void Send(const HostName& aHost)
  {
    const CustomerCall call = m_mesh.MakeCall(kBookOperation);
    m_calls[call.m_request] = call;
    m_mesh.Call(aHost, call);
  }

  /* Retries every order whose last reported outcome is Outcome::Unknown. */
  void ResendUnknown(const HostName& aHost)
  {
    ProcessAnswers();
    for (const RequestId& request : std::exchange(m_unknown, {})) {
      m_mesh.Call(aHost, m_calls.at(request));
    }
  }

  void ProcessAnswers()
  {
    for (; m_nextAnswer < m_mesh.Answers().size(); ++m_nextAnswer) {
      const MeshAnswer& answer = m_mesh.Answers().at(m_nextAnswer);
      const bool wasDispatched = m_mesh.Dispatches().contains(answer.m_request);
      switch (answer.m_report.m_outcome) {
        case Outcome::Completed:
          m_completed.insert(answer.m_request);
          m_unknown.erase(answer.m_request);
          break;
        case Outcome::NotRun:
          m_falseNotRun += wasDispatched ? 1 : 0;
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
  std::size_t m_nextAnswer = 0;
  std::set<RequestId> m_completed;
  std::set<RequestId> m_unknown;
  std::size_t m_falseNotRun = 0;
};

class Report
{
public:
  void AddUpperBound(std::string_view aName,
                     double aValue,
                     std::string_view aUnit,
                     double aTarget)
  {
    Print(aName, aValue, aUnit, aTarget, aValue <= aTarget);
  }

  void AddLowerBound(std::string_view aName,
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

/* Sends one order per second, in turn through the nodes stock-1 and stock-2. */
void
SendSteadily(TestMesh& aMesh, OrderLog& aOrders, int aSeconds)
{
  for (int second = 0; second < aSeconds; ++second) {
    aOrders.Send(second % 2 == 0 ? "stock-1" : "stock-2");
    aMesh.RunFor(Seconds(1));
  }
  aOrders.ProcessAnswers();
}

void
MeasureOutage(Report& aReport)
{
  TestMesh mesh(Hosts(), BookingGraph(), kSeed);
  OrderLog orders(mesh);
  mesh.Faults().m_platformDown = true;
  SendSteadily(mesh, orders, 600);
  mesh.RunFor(Seconds(5));
  orders.ProcessAnswers();
  aReport.AddLowerBound("orders_completed_in_10_min_store_outage",
                        Share(orders.Completed(), orders.Sent()),
                        "share",
                        0.999);
}

void
MeasureCrash(Report& aReport)
{
  TestMesh mesh(Hosts(), BookingGraph(), kSeed + 1);
  OrderLog orders(mesh);
  SendSteadily(mesh, orders, 60);
  const std::size_t before = orders.Sent();
  mesh.RestartNode("shop-3");
  SendSteadily(mesh, orders, 900);
  mesh.RunFor(Seconds(5));
  orders.ProcessAnswers();
  aReport.AddUpperBound("orders_unknown_in_15_min_after_owner_crash",
                        Share(orders.Unknown(), orders.Sent() - before),
                        "share",
                        0.2);
  aReport.AddUpperBound(
    "crash_duplicates", static_cast<double>(orders.Duplicates()), "keys", 0);
}

void
MeasureLeave(Report& aReport)
{
  TestMesh mesh(Hosts(), BookingGraph(), kSeed + 2);
  OrderLog orders(mesh);
  SendSteadily(mesh, orders, 30);
  const std::size_t before = orders.Sent();
  mesh.LeaveServer("shop-3");
  SendSteadily(mesh, orders, 120);
  mesh.RunFor(Seconds(5));
  orders.ProcessAnswers();
  aReport.AddLowerBound(
    "orders_completed_in_2_min_after_leave",
    Share(orders.Completed() - before, orders.Sent() - before),
    "share",
    0.99);
}

/* Injects lost answers, a slow store that loses answers, pauses longer than a
   segment covers, node restarts and leaving servers, and retries every unknown
   order. */
void
MeasureFaults(Report& aReport)
{
  std::size_t duplicates = 0;
  std::size_t falseNotRun = 0;
  std::size_t sent = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    TestMesh mesh(Hosts(), BookingGraph(), seed);
    OrderLog orders(mesh);
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
    orders.ProcessAnswers();
    duplicates += orders.Duplicates();
    falseNotRun += orders.FalseNotRun();
    sent += orders.Sent();
  }
  aReport.AddLowerBound(
    "orders_sent_under_faults", static_cast<double>(sent), "orders", 1000);
  aReport.AddUpperBound(
    "keys_run_twice", static_cast<double>(duplicates), "keys", 0);
  aReport.AddUpperBound(
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
  // Upper bound: attributes all requests to the five nodes that are owners.
  constexpr double nodes = 5.0;
  const double writes =
    static_cast<double>(after.m_writes - before.m_writes) / seconds / nodes;
  const double reads =
    static_cast<double>(after.m_reads - before.m_reads) / seconds / nodes;
  aReport.AddUpperBound("ownership_store_writes_910_nodes",
                        writes * kFleetNodes,
                        "1/s",
                        kMaxStoreWritesPerSecond);
  aReport.AddUpperBound("ownership_store_reads_910_nodes",
                        reads * kFleetNodes,
                        "1/s",
                        kMaxStoreReadsPerSecond);
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
