#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "cr_retry/cr_retry.h"

namespace cr {

namespace {

const std::string kService = "pricing";

/* The nodes that share a budget, and the times of their requests and retries.
 */
struct Fleet
{
  std::vector<std::unique_ptr<RetryBudget>> m_nodes;
  std::vector<Instant> m_requests;
  std::vector<Instant> m_retries;

  static std::unique_ptr<RetryBudget> MakeNode(const RetryBudgetLimits& aLimits,
                                               std::size_t aNodes)
  {
    auto node = std::make_unique<RetryBudget>(aLimits);
    node->SetNodes(aNodes);
    return node;
  }
};

std::size_t
CountWithin(const std::vector<Instant>& aTimes, Instant aFrom, Instant aTo)
{
  return static_cast<std::size_t>(
    std::count_if(aTimes.begin(), aTimes.end(), [&](Instant aTime) {
      return aTime > aFrom && aTime <= aTo;
    }));
}

RC_GTEST_PROP(RetryBudget, TheFleetStaysWithinTheBoundInEveryWindow, ())
{
  const RetryBudgetLimits limits{ 0.2, 50, Seconds(10) };
  const auto size = *rc::gen::inRange<std::size_t>(2, 8);
  Fleet fleet;
  for (std::size_t index = 0; index < size; ++index) {
    fleet.m_nodes.push_back(Fleet::MakeNode(limits, size));
  }
  Random random(*rc::gen::arbitrary<std::uint64_t>());
  // Half of the nodes restart once, as after a common fault. A restarted node
  // has lost the counts of its retries.
  const auto restart = random.NextBelow(3000);
  Instant now{ Seconds(100) };
  for (std::uint64_t step = 0; step < 3000; ++step) {
    now += Milliseconds(static_cast<std::int64_t>(random.NextBelow(20)));
    auto& node = fleet.m_nodes.at(random.NextBelow(size));
    if (random.NextDouble() < 0.5) {
      node->CountRequest(kService, now);
      fleet.m_requests.push_back(now);
    }
    if (random.NextDouble() < 0.6 && node->TryConsumeRetry(kService, now)) {
      fleet.m_retries.push_back(now);
    }
    if (step == restart) {
      for (std::size_t index = 0; index < size / 2; ++index) {
        fleet.m_nodes.at(index) = Fleet::MakeNode(limits, size);
      }
    }
  }
  // The restarted half uses its part of the slack at most twice.
  const double slack = limits.m_slack * 1.5;
  for (Instant end{ Seconds(100) }; end < now; end += Milliseconds(500)) {
    const auto requests =
      CountWithin(fleet.m_requests, end - limits.m_window, end);
    const auto retries =
      CountWithin(fleet.m_retries, end - limits.m_window, end);
    RC_ASSERT(static_cast<double>(retries) <=
              limits.m_ratio * static_cast<double>(requests) + slack);
  }
}

TEST(RetryBudget, TheSlackIsSharedByTheNodes)
{
  RetryBudget budget({ 0.1, 20, Seconds(10) });
  budget.SetNodes(10);
  const Instant now{ Seconds(100) };
  int consumed = 0;
  while (budget.TryConsumeRetry(kService, now)) {
    ++consumed;
  }
  EXPECT_EQ(consumed, 2);
  EXPECT_TRUE(budget.TryConsumeRetry("other", now));
}

TEST(RetryBudget, CountsExpireAfterTheWindow)
{
  RetryBudget budget({ 1, 0, Seconds(10) });
  const Instant now{ Seconds(100) };
  budget.CountRequest(kService, now);
  EXPECT_TRUE(budget.TryConsumeRetry(kService, now));
  EXPECT_FALSE(budget.TryConsumeRetry(kService, now));
  EXPECT_FALSE(budget.TryConsumeRetry(kService, now + Seconds(11)));
  budget.CountRequest(kService, now + Seconds(11));
  EXPECT_TRUE(budget.TryConsumeRetry(kService, now + Seconds(11)));
}

}

}
