#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <map>

#include "cr_admission/cr_admission.h"

namespace cr {

namespace {

/* A route of customers' requests that make calls to the bottleneck. */
struct Route
{
  std::string m_name;
  std::uint32_t m_priority = 0;
  int m_calls = 1;
  Duration m_callTime = Milliseconds(41);
  double m_perSecond = 0;
};

/* Entry nodes in front of one bottleneck service. Requests make their calls in
   sequence, and wait for a slot if there is none. */
class SharedBottleneck
{
public:
  SharedBottleneck(std::uint64_t aSeed, std::vector<Route> aRoutes)
    : m_routes(std::move(aRoutes))
    , m_random(aSeed)
    , m_entries(kNodes, BottleneckShares(kTarget))
  {
  }

  void RunFor(Duration aTime, double aDemand)
  {
    const Instant end = m_now + aTime;
    while (m_now < end) {
      m_now += Milliseconds(1);
      for (const Route& route : m_routes) {
        double& due = m_due[route.m_name];
        due += aDemand * route.m_perSecond / 1000;
        while (due >= 1) {
          due -= 1;
          Arrive(route);
        }
      }
      while (!m_running.empty() && m_running.begin()->first <= m_now) {
        const auto ended = m_running.extract(m_running.begin());
        End(ended.mapped());
      }
    }
  }

  void ResetCounts() { m_counts.clear(); }

  /* Returns the share of the requests of a route that were served in time. */
  double Served(const std::string& aRoute)
  {
    const Counts& counts = m_counts[aRoute];
    return static_cast<double>(counts.m_inTime) / std::max(1, counts.m_sent);
  }

  /* Returns the share of the calls that belong to requests served in time. */
  double Useful()
  {
    double useful = 0;
    double all = 0;
    for (const Route& route : m_routes) {
      const Counts& counts = m_counts[route.m_name];
      useful += counts.m_inTime * route.m_calls * ToSeconds(route.m_callTime);
      all += counts.m_calls * ToSeconds(route.m_callTime);
    }
    return useful / all;
  }

private:
  static constexpr std::size_t kNodes = 20;
  static constexpr std::uint32_t kSlots = 120;
  static constexpr double kTarget = 1.0;
  static constexpr Duration kOtherWork = Milliseconds(200);
  static constexpr Duration kTimeout = Milliseconds(1200);

  struct Counts
  {
    int m_sent = 0;
    int m_inTime = 0;
    int m_calls = 0;
  };

  struct Request
  {
    const Route* m_route = nullptr;
    std::size_t m_entry = 0;
    Instant m_arrived;
    int m_callsLeft = 0;
  };

  void Arrive(const Route& aRoute)
  {
    ++m_counts[aRoute.m_name].m_sent;
    const std::size_t entry = m_random.NextBelow(kNodes);
    BottleneckShares& shares = m_entries.at(entry);
    shares.CountArrival(aRoute.m_name, m_now);
    if (m_random.NextDouble() >= shares.ShareOf(aRoute.m_name, m_now)) {
      return;
    }
    Call({ &aRoute, entry, m_now, aRoute.m_calls });
  }

  void Call(const Request& aRequest)
  {
    ++m_counts[aRequest.m_route->m_name].m_calls;
    m_load.CountArrival(aRequest.m_route->m_name, m_now);
    m_waiting.emplace(m_now, aRequest);
    Fill();
  }

  void Fill()
  {
    while (m_running.size() < kSlots && !m_waiting.empty()) {
      const auto next = m_waiting.extract(m_waiting.begin());
      const Duration time =
        Scale(next.mapped().m_route->m_callTime, 0.5 + m_random.NextDouble());
      m_load.RecordTime(next.mapped().m_route->m_name, time);
      m_running.emplace(m_now + time, next.mapped());
    }
  }

  void End(Request aRequest)
  {
    const Duration age = m_now - aRequest.m_arrived + kOtherWork;
    if (--aRequest.m_callsLeft > 0 && age < kTimeout) {
      Call(aRequest);
      return;
    }
    const Route& route = *aRequest.m_route;
    m_counts[route.m_name].m_inTime +=
      aRequest.m_callsLeft == 0 && age <= kTimeout ? 1 : 0;
    m_entries.at(aRequest.m_entry)
      .RecordReport(route.m_name,
                    { m_load.Load(kSlots, m_waiting.size(), m_now),
                      route.m_callTime * route.m_calls,
                      age,
                      route.m_priority },
                    m_now);
    Fill();
  }

  const std::vector<Route> m_routes;
  Random m_random;
  std::vector<BottleneckShares> m_entries;
  OfferedLoad m_load;
  Instant m_now{ Seconds(100) };
  std::map<std::string, double> m_due;
  std::map<std::string, Counts> m_counts;
  std::multimap<Instant, Request> m_waiting;
  std::multimap<Instant, Request> m_running;
};

/* The rates need 0.5, 0.05 and 1 of the bottleneck: orders, prices, status. */
std::vector<Route>
Mesh()
{
  return { { "order", 0, 8, Milliseconds(41), 183 },
           { "price", 1, 1, Milliseconds(65), 92 },
           { "status", 2, 8, Milliseconds(41), 366 } };
}

/* Incident SHORT: each route answered to the same load with a target of its
   own, so the urgent ones kept the load where all others lost everything. */
TEST(BottleneckShares, LessUrgentRoutesGetWhatTheUrgentOnesLeave)
{
  for (const std::uint64_t seed : { 1U, 2U, 3U }) {
    SharedBottleneck mesh(seed, Mesh());
    mesh.RunFor(Seconds(6), 1);
    mesh.ResetCounts();
    mesh.RunFor(Seconds(10), 1);
    EXPECT_GT(mesh.Served("order"), 0.95);
    EXPECT_GT(mesh.Served("price"), 0.95);
    EXPECT_GT(mesh.Served("status"), 0.35);
    EXPECT_GT(mesh.Useful(), 0.95);
  }
}

/* Refusing one order makes room for five prices. Orders alone demand 1.5 of the
   capacity, and prices 0.15. */
TEST(BottleneckShares, CheapRoutesAreServedWhileUrgentOnesExceedTheCapacity)
{
  for (const std::uint64_t seed : { 1U, 2U, 3U }) {
    SharedBottleneck mesh(seed, Mesh());
    mesh.RunFor(Seconds(6), 3);
    mesh.ResetCounts();
    mesh.RunFor(Seconds(10), 3);
    EXPECT_GT(mesh.Served("price"), 0.9);
    EXPECT_GT(mesh.Served("order"), 0.4);
    EXPECT_GT(1.5 * mesh.Served("order") + 0.15 * mesh.Served("price") +
                3 * mesh.Served("status"),
              0.85);
    EXPECT_GT(mesh.Useful(), 0.9);
  }
}

TEST(BottleneckShares, RoutesRecoverTogetherAfterASurge)
{
  for (const std::uint64_t seed : { 1U, 2U, 3U }) {
    SharedBottleneck mesh(seed, Mesh());
    mesh.RunFor(Seconds(8), 4);
    mesh.RunFor(Seconds(4), 0.5);
    mesh.ResetCounts();
    mesh.RunFor(Seconds(2), 0.5);
    EXPECT_GT(mesh.Served("order"), 0.95);
    EXPECT_GT(mesh.Served("status"), 0.95);
  }
}

TEST(BottleneckShares, RouteThatNoLongerReportsTheServiceIsNotLimitedByIt)
{
  BottleneckShares shares(1);
  Instant now{ Seconds(100) };
  for (int step = 0; step < 40; ++step) {
    now += Milliseconds(100);
    shares.CountArrival("proof", now);
    shares.RecordReport(
      "proof", { 4, Milliseconds(40), Milliseconds(100), 2 }, now);
  }
  EXPECT_LT(shares.ShareOf("proof", now), 0.5);
  now += Seconds(4);
  EXPECT_EQ(shares.ShareOf("proof", now), 1);
  EXPECT_TRUE(shares.IsUnused(now));
}

}

}
