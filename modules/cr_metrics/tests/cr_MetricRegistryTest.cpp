#include <algorithm>
#include <cmath>
#include <thread>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cr_metrics/cr_metrics.h"

namespace cr {

namespace {

constexpr std::array<MetricFamily, 2> kFamilies = { {
  { "test_calls_total", "Calls.", MetricKind::Counter },
  { "test_seconds", "Latency.", MetricKind::Histogram },
} };

bool
HasLine(const std::string& aText, const std::string& aLine)
{
  return ('\n' + aText).find('\n' + aLine + '\n') != std::string::npos;
}

TEST(MetricRegistry, CountsOfSeveralThreadsAddUp)
{
  MetricRegistry registry(kFamilies);
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int thread = 0; thread < 4; ++thread) {
    threads.emplace_back([&] {
      const std::array<MetricLabel, 1> labels = { { { "service", "kasse" } } };
      for (int count = 0; count < 1000; ++count) {
        registry.Add(0, labels);
        registry.Observe(1, labels, Milliseconds(1));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::string text = registry.Write({});
  EXPECT_TRUE(HasLine(text, "# TYPE test_calls_total counter"));
  EXPECT_TRUE(HasLine(text, "test_calls_total{service=\"kasse\"} 4000"));
  EXPECT_TRUE(HasLine(text, "test_seconds_count{service=\"kasse\"} 4000"));
  EXPECT_TRUE(HasLine(text, "test_seconds_sum{service=\"kasse\"} 4"));
  EXPECT_TRUE(
    HasLine(text, "test_seconds_bucket{service=\"kasse\",le=\"+Inf\"} 4000"));
}

TEST(MetricRegistry, LabelValuesCannotBreakTheFormat)
{
  MetricRegistry registry(kFamilies);
  registry.Add(0, std::array<MetricLabel, 1>{ { { "service", "a\"}\n\\" } } });
  EXPECT_TRUE(
    HasLine(registry.Write({}), R"(test_calls_total{service="a\"}\n\\"} 1)"));
}

TEST(MetricRegistry, LabelSetsBeyondTheLimitShareTheOverflowSeries)
{
  MetricRegistry registry(kFamilies);
  for (std::size_t number = 0; number < kMaxSeriesPerFamily + 5; ++number) {
    const std::string name = std::to_string(number);
    registry.Add(0, std::array<MetricLabel, 1>{ { { "service", name } } });
  }
  EXPECT_TRUE(
    HasLine(registry.Write({}), "test_calls_total{overflow=\"true\"} 5"));
}

RC_GTEST_PROP(LatencyHistogram,
              QuantileIsAtMostOneBinAboveTheExactOne,
              (std::vector<std::uint32_t> aRaw))
{
  RC_PRE(!aRaw.empty());
  constexpr std::uint32_t binsPerDecade = 100;
  LatencyHistogram histogram(binsPerDecade);
  LatencyHistogram half(binsPerDecade);
  std::vector<double> exact;
  for (std::size_t index = 0; index < aRaw.size(); ++index) {
    const std::int64_t value = 10 + aRaw[index] % 10000000;
    exact.push_back(static_cast<double>(value));
    (index % 2 == 0 ? histogram : half).Add(Duration(value));
  }
  histogram.Merge(half);
  std::sort(exact.begin(), exact.end());
  RC_ASSERT(histogram.Count() == exact.size());
  for (const double quantile : { 0.0, 0.5, 0.99, 1.0 }) {
    const auto rank = static_cast<std::size_t>(
      std::max(1.0, std::ceil(quantile * double(exact.size()))));
    const double expected = exact.at(rank - 1);
    const auto measured = double(histogram.Quantile(quantile).count());
    const double binWidth = std::pow(10.0, 1.0 / binsPerDecade);
    RC_ASSERT(measured >= expected - 1);
    RC_ASSERT(measured <= expected * binWidth + 1);
  }
}

}

}
