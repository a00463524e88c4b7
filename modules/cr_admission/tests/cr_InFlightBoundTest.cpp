#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <vector>

#include "cr_admission/cr_admission.h"

namespace cr {

namespace {

constexpr double kTarget = 0.95;

void
RecordLoadFor(InFlightBound& aBound,
              double aLoad,
              Duration aTime,
              Instant& aNow)
{
  const Instant end = aNow + aTime;
  while (aNow < end) {
    aNow += Milliseconds(10);
    aBound.RecordLoad(aLoad, kTarget, aNow);
  }
}

TEST(InFlightBound, StartsSmallAndGrowsWithReportsOfLowLoad)
{
  InFlightBound bound;
  int started = 0;
  while (bound.HasCapacity()) {
    bound.Begin();
    ++started;
  }
  EXPECT_EQ(started, static_cast<int>(InFlightBound::kMinBound));
  Instant now{ Seconds(100) };
  RecordLoadFor(bound, 0.4, Milliseconds(500), now);
  EXPECT_TRUE(bound.HasCapacity());
  EXPECT_GE(bound.Bound(), 3 * started);
}

TEST(InFlightBound, DecreasesUnderOverloadDownToTheMinimum)
{
  InFlightBound bound;
  Instant now{ Seconds(100) };
  for (int request = 0; request < 100; ++request) {
    bound.Begin();
  }
  RecordLoadFor(bound, 0.4, Seconds(1), now);
  EXPECT_GT(bound.Bound(), 100);
  RecordLoadFor(bound, 3.8, Milliseconds(200), now);
  EXPECT_LE(bound.Bound(), 51);
  RecordLoadFor(bound, 50, Seconds(2), now);
  EXPECT_EQ(bound.Bound(), InFlightBound::kMinBound);
}

/* Simulates nodes that all start at the same time, as after a power failure, in
   front of a service at which each request makes eight calls in sequence. The
   demand is a multiple of the service's capacity. */
class ColdStart
{
public:
  ColdStart(std::uint64_t aSeed, bool aIsBounded)
    : m_random(aSeed)
    , m_isBounded(aIsBounded)
    , m_shares(kNodes, AdmittedShare(kTarget))
    , m_selections(kNodes)
    , m_bounds(kNodes)
  {
  }

  /* Returns the share of all requests that were served within the objective. */
  double RunFor(Duration aTime, double aDemand)
  {
    const double perStep =
      aDemand * kSlots / (kCalls * ToSeconds(kCallTime)) / 1000;
    const Instant end = m_now + aTime;
    double due = 0;
    while (m_now < end) {
      m_now += Milliseconds(1);
      due += perStep;
      while (due >= 1) {
        due -= 1;
        Arrive();
      }
      EndCalls();
    }
    return static_cast<double>(m_inTime) / m_sent;
  }

private:
  static constexpr std::size_t kNodes = 18;
  static constexpr std::uint32_t kSlots = 92;
  static constexpr int kCalls = 8;
  static constexpr Duration kCallTime = Milliseconds(22);
  static constexpr Duration kObjective = Milliseconds(1200);
  static constexpr Duration kCallerTimeout = Seconds(5);

  struct Request
  {
    std::size_t m_node;
    Instant m_arrived;
    int m_callsLeft = kCalls;
  };

  void Arrive()
  {
    ++m_sent;
    const std::size_t node = m_random.NextBelow(kNodes);
    m_shares.at(node).Advance(m_now);
    if (!m_selections.at(node).Admit(m_shares.at(node).Share(),
                                     { false, m_random.NextDouble() }) ||
        (m_isBounded && !m_bounds.at(node).HasCapacity())) {
      return;
    }
    m_bounds.at(node).Begin();
    Call({ node, m_now });
  }

  void Call(const Request& aRequest)
  {
    m_load.CountArrival("call", m_now);
    m_waiting.push_back(aRequest);
    Fill();
  }

  void Fill()
  {
    while (m_running.size() < kSlots && !m_waiting.empty()) {
      m_running.emplace(m_now + kCallTime, m_waiting.front());
      m_waiting.pop_front();
    }
  }

  void EndCalls()
  {
    while (!m_running.empty() && m_running.begin()->first <= m_now) {
      Request request = m_running.begin()->second;
      m_running.erase(m_running.begin());
      m_load.RecordTime("call", kCallTime);
      const Duration age = m_now - request.m_arrived;
      if (--request.m_callsLeft > 0 && age < kCallerTimeout) {
        Call(request);
        continue;
      }
      m_inTime += request.m_callsLeft == 0 && age <= kObjective ? 1 : 0;
      const double load = m_load.Load(kSlots, m_waiting.size(), m_now);
      m_bounds.at(request.m_node).End();
      m_bounds.at(request.m_node).RecordLoad(load, kTarget, m_now);
      m_shares.at(request.m_node).RecordLoad(load, age, m_now);
      Fill();
    }
  }

  Random m_random;
  bool m_isBounded;
  std::vector<AdmittedShare> m_shares;
  std::vector<ReturningFirst> m_selections;
  std::vector<InFlightBound> m_bounds;
  OfferedLoad m_load;
  Instant m_now{ Seconds(100) };
  std::deque<Request> m_waiting;
  std::multimap<Instant, Request> m_running;
  int m_sent = 0;
  int m_inTime = 0;
};

TEST(InFlightBound, ColdStartAtTwiceTheCapacityServesMostOfTheCapacity)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const double bounded = ColdStart(seed, true).RunFor(Seconds(4), 2);
    const double shareAlone = ColdStart(seed, false).RunFor(Seconds(4), 2);
    EXPECT_GT(bounded, 0.35) << "seed " << seed;
    EXPECT_GT(bounded, 1.3 * shareAlone) << "seed " << seed;
  }
}

TEST(InFlightBound, ColdStartAtHalfOfTheCapacityRefusesFew)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    EXPECT_GT(ColdStart(seed, true).RunFor(Seconds(4), 0.5), 0.93)
      << "seed " << seed;
  }
}

}

}
