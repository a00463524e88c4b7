#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cr_Arrivals.h"
#include "cr_LoadResult.h"

namespace cr {

namespace {

constexpr std::string_view kScenario = R"({
  "seed": 1, "address": "127.0.0.1", "platform_port": 24400,
  "service_files": [], "service_ms": 1, "seconds": 4,
  "hosts": [],
  "streams": [ { "operation": "tarif/price", "per_second": 100 } ],
  "triggers": [ { "kind": "surge", "at_ms": 1000, "for_ms": 1000,
                  "percent": 300 } ]
})";

std::string
Replaced(std::string aText, std::string_view aFrom, std::string_view aTo)
{
  return aText.replace(aText.find(aFrom), aFrom.size(), aTo);
}

Scenario
Parsed(std::string_view aText)
{
  Findings findings;
  Scenario scenario = ParseScenario("s.json", aText, findings);
  EXPECT_TRUE(findings.empty()) << ToText(findings);
  return scenario;
}

std::string
FindingsOf(const std::string& aText)
{
  Findings findings;
  const Scenario scenario = ParseScenario("s.json", aText, findings);
  if (findings.empty()) {
    CheckScenario(scenario, {}, findings);
  }
  return ToText(findings);
}

TEST(Scenario, ReportsPositionOfEachError)
{
  const std::string text(kScenario);
  EXPECT_NE(FindingsOf(Replaced(text, "\"hosts\": []", "\"hosts\": 7"))
              .find("s.json:4:12: a list is needed"),
            std::string::npos);
  EXPECT_NE(FindingsOf(Replaced(text, "tarif/price", "tarif"))
              .find("s.json:5:31: an operation is"),
            std::string::npos);
  EXPECT_NE(FindingsOf(Replaced(text, "surge", "flood"))
              .find("s.json:6:27: there is no such kind"),
            std::string::npos);
  EXPECT_NE(FindingsOf(text).find("s.json:5:16: there is no operation"),
            std::string::npos);
  EXPECT_NE(FindingsOf(Replaced(text, "\"for_ms\": 1000", "\"for_ms\": 9000"))
              .find("s.json:6:17: the trigger ends after the load"),
            std::string::npos);
}

TEST(Arrivals, FollowTheSeedAndTheSurge)
{
  Scenario scenario = Parsed(kScenario);
  scenario.m_spread = Spread::Even;
  const auto arrivals = PlanArrivals(scenario);
  std::array<int, 4> bySecond{};
  for (const Arrival& arrival : arrivals) {
    ++bySecond.at(static_cast<std::size_t>(arrival.m_at / Seconds(1)));
  }
  EXPECT_NEAR(bySecond.at(0), 100, 2);
  EXPECT_NEAR(bySecond.at(1), 300, 2);
  EXPECT_NEAR(bySecond.at(2), 100, 2);
  const auto again = PlanArrivals(scenario);
  ASSERT_EQ(again.size(), arrivals.size());
  EXPECT_EQ(again.back().m_request, arrivals.back().m_request);
  scenario.m_seed = 2;
  EXPECT_NE(PlanArrivals(scenario).back().m_request, arrivals.back().m_request);
}

RC_GTEST_PROP(RecoveryTime, IsTheEndOfTheLastDip, ())
{
  constexpr std::size_t start = 30;
  constexpr std::size_t end = 60;
  const auto dip = *rc::gen::inRange<std::size_t>(0, 40);
  std::vector<std::uint64_t> completed(130, 20);
  for (std::size_t slice = start; slice < end + dip; ++slice) {
    completed.at(slice) = 0;
  }
  const auto time =
    RecoveryTime(completed,
                 kSliceLength * static_cast<Duration::rep>(start),
                 kSliceLength * static_cast<Duration::rep>(end));
  RC_ASSERT(time.has_value());
  RC_ASSERT(*time == kSliceLength * static_cast<Duration::rep>(dip));
}

TEST(RecoveryTime, IsEmptyWithoutOneSecondOfGoodput)
{
  std::vector<std::uint64_t> completed(100, 20);
  for (std::size_t slice = 60; slice < 100; slice += 10) {
    completed.at(slice) = 0;
  }
  EXPECT_FALSE(RecoveryTime(completed, Seconds(3), Seconds(6)).has_value());
}

TEST(LoadRecorder, CountsCompletionsByArrivalAndByEnd)
{
  LoadRecorder recorder(Seconds(2));
  const OperationName name{ "tarif", "price" };
  recorder.Record(
    name, RequestEnd::Completed, Milliseconds(50), Milliseconds(950), 2);
  recorder.Record(
    name, RequestEnd::NotRun, Milliseconds(60), Milliseconds(70), 1);
  const StreamResult stream = recorder.Results().at(name);
  EXPECT_EQ(stream.m_slices.at(0).m_arrived, 2U);
  EXPECT_EQ(stream.m_slices.at(0).m_arrivedCompleted, 1U);
  EXPECT_EQ(stream.m_slices.at(9).m_completed, 1U);
  EXPECT_EQ(stream.Requests(), 2U);
}

}

}
