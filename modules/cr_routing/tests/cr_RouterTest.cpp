#include <functional>
#include <map>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cr_routing/cr_routing.h"

namespace cr {

namespace {

constexpr std::uint64_t kSeed = 7;
constexpr Rank kRank = 600;

RouteTarget
MakeTarget(int aNumber,
           std::string aDataCentre = "a",
           std::string aRegion = "r")
{
  return { "host-" + std::to_string(aNumber),
           Incarnation{ 1 },
           std::move(aRegion),
           std::move(aDataCentre),
           {} };
}

std::vector<RouteTarget>
MakeTargets(int aCount)
{
  std::vector<RouteTarget> targets;
  targets.reserve(static_cast<std::size_t>(aCount));
  for (int number = 0; number < aCount; ++number) {
    targets.push_back(MakeTarget(number));
  }
  return targets;
}

NodeLocality
Locality()
{
  return { "caller", "r", "a" };
}

/* Simulates one attempt per millisecond of virtual time. */
class Traffic
{
public:
  using Host = std::function<AttemptResult(Instant)>;

  explicit Traffic(const PolicySwitches& aPolicy = {})
    : m_router(Locality(), kSeed, aPolicy)
  {
  }

  void SetHost(const RouteTarget& aTarget, Host aHost)
  {
    m_targets.push_back(aTarget);
    m_hosts[aTarget.m_host] = std::move(aHost);
    m_router.Update(m_targets, m_now);
  }

  std::map<HostName, int> RunFor(Duration aTime)
  {
    std::map<HostName, int> sent;
    const Instant end = m_now + aTime;
    while (m_now < end) {
      m_now += Milliseconds(1);
      Deliver();
      const auto target = m_router.Choose(kRank, {}, m_now, m_mayBeRepeated);
      ++sent[target->m_host];
      const AttemptResult result = m_hosts.at(target->m_host)(m_now);
      m_ends.emplace(m_now + result.m_latency,
                     std::pair(target->m_host, result));
      m_maxEjected = std::max(m_maxEjected, m_router.Ejected(m_now));
    }
    return sent;
  }

  Router m_router;
  Instant m_now = Instant(Seconds(100));
  std::size_t m_maxEjected = 0;
  bool m_mayBeRepeated = false;

private:
  void Deliver()
  {
    while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
      const auto [host, result] = m_ends.begin()->second;
      m_ends.erase(m_ends.begin());
      m_router.Report(host, result, m_now);
    }
  }

  std::vector<RouteTarget> m_targets;
  std::map<HostName, Host> m_hosts;
  std::multimap<Instant, std::pair<HostName, AttemptResult>> m_ends;
};

AttemptResult
Healthy(Instant /*aNow*/)
{
  return { true, false, Milliseconds(10), 0, false };
}

AttemptResult
FailsFast(Instant /*aNow*/)
{
  return { false, false, Milliseconds(1), 0, false };
}

AttemptResult
RefusesFast(Instant /*aNow*/)
{
  return { false, true, Milliseconds(1), 0, false };
}

int
SentToFailing(const Traffic::Host& aFailing, const PolicySwitches& aPolicy)
{
  Traffic traffic(aPolicy);
  for (int number = 0; number < 5; ++number) {
    traffic.SetHost(MakeTarget(number),
                    number == 0 ? aFailing : Traffic::Host(Healthy));
  }
  return traffic.RunFor(Seconds(30))["host-0"];
}

TEST(Router, FastFailingHostGetsLessThanUniformChoiceGivesIt)
{
  const int naive = SentToFailing(FailsFast, NaivePolicy());
  EXPECT_GT(naive, 30000 / 6);
  EXPECT_LT(SentToFailing(FailsFast, {}), naive / 10);
  PolicySwitches withoutEjection;
  withoutEjection.m_ejection = false;
  EXPECT_LT(SentToFailing(FailsFast, withoutEjection), naive);
}

TEST(Router, HostThatOnlyRefusesGetsLessThanItsShare)
{
  EXPECT_LT(SentToFailing(RefusesFast, {}), 30000 / 5);
}

TEST(Router, HostsThatFailAlikeAreNotEjected)
{
  Traffic traffic;
  for (int number = 0; number < 6; ++number) {
    traffic.SetHost(MakeTarget(number), FailsFast);
  }
  traffic.RunFor(Seconds(10));
  EXPECT_LE(traffic.m_maxEjected, 1U);
}

TEST(Router, LostConnectionsDoNotEject)
{
  Traffic traffic;
  for (int number = 0; number < 5; ++number) {
    traffic.SetHost(MakeTarget(number), [number](Instant) {
      return AttemptResult{
        number != 0, false, Milliseconds(10), 0, number == 0
      };
    });
  }
  traffic.RunFor(Seconds(5));
  EXPECT_EQ(traffic.m_maxEjected, 0U);
}

TEST(Router, RecoveredHostGetsItsShareBack)
{
  Traffic traffic;
  const Instant recovery = traffic.m_now + Seconds(20);
  for (int number = 0; number < 4; ++number) {
    traffic.SetHost(MakeTarget(number), [number, recovery](Instant aNow) {
      return number == 0 && aNow < recovery ? FailsFast(aNow) : Healthy(aNow);
    });
  }
  traffic.RunFor(Seconds(90));
  const int share = traffic.RunFor(Seconds(10))["host-0"];
  EXPECT_GT(share, 10000 / 4 / 2);
}

/* Incident SHORT: a host that had been down and up by turns for 7 s was ejected
   for 16 s more, while the others had too much work. */
TEST(Router, HostThatHasStoppedFlappingIsUsedAgainWithinSeconds)
{
  Traffic traffic;
  traffic.m_mayBeRepeated = true;
  const Instant start = traffic.m_now;
  const Instant settled = start + Seconds(7);
  for (int number = 0; number < 4; ++number) {
    traffic.SetHost(MakeTarget(number), [=](Instant aNow) {
      const bool isDown =
        (aNow - start) / Milliseconds(900) % 2 == 1 && aNow < settled;
      return number == 0 && isDown ? FailsFast(aNow) : Healthy(aNow);
    });
  }
  const int whileFlapping = traffic.RunFor(Seconds(7))["host-0"];
  EXPECT_LT(whileFlapping, 7000 / 4);
  traffic.RunFor(Seconds(3));
  EXPECT_GT(traffic.RunFor(Seconds(3))["host-0"], 3000 / 4 / 2);
}

/* A probe may fail, so it must be harmless to repeat it. */
TEST(Router, OnlyAttemptsThatMayBeRepeatedProbeEjectedHosts)
{
  for (const bool mayBeRepeated : { false, true }) {
    Traffic traffic;
    traffic.m_mayBeRepeated = mayBeRepeated;
    for (int number = 0; number < 4; ++number) {
      traffic.SetHost(MakeTarget(number), number == 0 ? FailsFast : Healthy);
    }
    traffic.RunFor(Seconds(1));
    const int probes = traffic.RunFor(Seconds(3))["host-0"];
    EXPECT_LE(probes, mayBeRepeated ? 5 : 0);
    EXPECT_GE(probes, mayBeRepeated ? 2 : 0);
  }
}

/* Seventeen nodes with few requests each probed so often that a tenth of all
   requests went to a failing host. */
TEST(Router, ProbesAreASmallShareOfFewAttempts)
{
  Router router(Locality(), kSeed, {});
  router.Update(MakeTargets(4), {});
  Instant now(Seconds(100));
  int probes = 0;
  for (int attempt = 0; attempt < 1000; ++attempt) {
    now += Milliseconds(250);
    const auto target = router.Choose(kRank, {}, now, true);
    const bool isFailing = target->m_host == "host-0";
    probes += isFailing && router.Ejected(now) > 0 ? 1 : 0;
    router.Report(
      target->m_host, { !isFailing, false, Milliseconds(2), 0, false }, now);
  }
  EXPECT_LE(probes, 1000 / 50);
}

TEST(Router, NewIncarnationRampsUp)
{
  Traffic traffic;
  for (int number = 0; number < 4; ++number) {
    traffic.SetHost(MakeTarget(number), Healthy);
  }
  traffic.RunFor(Seconds(20));
  std::vector<RouteTarget> targets = MakeTargets(4);
  targets.front().m_incarnation = Incarnation{ 2 };
  traffic.m_router.Update(targets, traffic.m_now);
  EXPECT_LT(traffic.RunFor(Seconds(1))["host-0"], 250 / 2);
  traffic.RunFor(Seconds(10));
  EXPECT_GT(traffic.RunFor(Seconds(4))["host-0"], 1000 / 2);
}

TEST(Router, OwnDataCentreFirstAndSpillByLevelAndLatency)
{
  Duration latency = Milliseconds(10);
  AdmissionLevel level = 0;
  Traffic traffic;
  for (int number = 0; number < 6; ++number) {
    const bool isNear = number < 3;
    traffic.SetHost(MakeTarget(number, isNear ? "a" : "b"),
                    [&, isNear](Instant) {
                      AttemptResult result = Healthy({});
                      result.m_latency = isNear ? latency : Milliseconds(11);
                      result.m_level = isNear ? level : 0;
                      return result;
                    });
  }
  const auto toFar = [&](Duration aTime) {
    auto sent = traffic.RunFor(aTime);
    return sent["host-3"] + sent["host-4"] + sent["host-5"];
  };
  EXPECT_EQ(toFar(Seconds(20)), 0);
  latency = Milliseconds(200);
  EXPECT_GT(toFar(Seconds(10)), 5000);
  latency = Milliseconds(10);
  toFar(Seconds(30));
  EXPECT_LT(toFar(Seconds(10)), 1000);
  level = kRank + 1;
  EXPECT_GT(toFar(Seconds(10)), 5000);
}

TEST(Router, OtherRegionIsLast)
{
  Traffic traffic;
  traffic.SetHost(MakeTarget(0, "c", "other"), Healthy);
  traffic.SetHost(MakeTarget(1, "b", "r"), Healthy);
  auto sent = traffic.RunFor(Seconds(5));
  EXPECT_EQ(sent["host-0"], 0);
  const auto target = traffic.m_router.Choose(
    kRank, std::vector<HostName>{ "host-1" }, traffic.m_now);
  ASSERT_TRUE(target);
  EXPECT_EQ(target->m_host, "host-0");
}

TEST(Router, LowestLevelIsUnknownWhileOneHostMayAdmit)
{
  Router router(Locality(), kSeed, {});
  router.Update(MakeTargets(2), {});
  const Instant now(Seconds(1));
  router.Report("host-0", { true, false, Milliseconds(1), 700, false }, now);
  EXPECT_FALSE(router.LowestLevel(now));
  router.Report("host-1", { false, true, Milliseconds(1), 650, false }, now);
  EXPECT_EQ(router.LowestLevel(now), AdmissionLevel{ 650 });
  EXPECT_FALSE(router.LowestLevel(now + HostHealth::kLevelLifetime));
}

RC_GTEST_PROP(RouterProperty,
              EjectionLimitHoldsAndEveryCallGetsAHost,
              (std::uint64_t aSeed))
{
  const int count = *rc::gen::inRange(1, 12);
  const auto failing = *rc::gen::container<std::vector<bool>>(
    static_cast<std::size_t>(count), rc::gen::arbitrary<bool>());
  Router router(Locality(), aSeed, {});
  router.Update(MakeTargets(count), {});
  Instant now(Seconds(1));
  for (int step = 0; step < 2000; ++step) {
    now += Milliseconds(5);
    const auto target = router.Choose(kRank, {}, now);
    RC_ASSERT(target.has_value());
    const auto number = std::stoul(target->m_host.substr(5));
    router.Report(target->m_host,
                  { !failing.at(number), false, Milliseconds(2), 0, false },
                  now);
    RC_ASSERT(static_cast<double>(router.Ejected(now)) <=
              Router::kMaxEjectedShare * count);
  }
}

RC_GTEST_PROP(SubsetProperty, RemovingAHostChangesAtMostOneMember, ())
{
  std::vector<RouteTarget> targets;
  const int count = *rc::gen::inRange(2, 120);
  targets.reserve(static_cast<std::size_t>(count));
  for (int number = 0; number < count; ++number) {
    targets.push_back(MakeTarget(number,
                                 std::string(1, *rc::gen::inRange('a', 'd')),
                                 *rc::gen::element<std::string>("r", "s")));
  }
  const auto names = [](const std::vector<RouteTarget>& aTargets) {
    std::set<HostName> hosts;
    for (const RouteTarget& target : ChooseSubset(aTargets, Locality())) {
      hosts.insert(target.m_host);
    }
    return hosts;
  };
  const auto before = names(targets);
  RC_ASSERT(before.size() ==
            std::min<std::size_t>(targets.size(), kSubsetSize));
  targets.erase(targets.begin() + *rc::gen::inRange(0, count));
  const auto after = names(targets);
  std::vector<HostName> removed;
  std::set_difference(before.begin(),
                      before.end(),
                      after.begin(),
                      after.end(),
                      std::back_inserter(removed));
  RC_ASSERT(removed.size() <= 1U);
}

}

}
