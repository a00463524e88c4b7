#include "cr_retry/budget/cr_RetryBudget.h"

#include <algorithm>
#include <numeric>

namespace cr {

namespace {

/* Services with counts of their own; further ones share one count. */
constexpr std::size_t kServiceLimit = 1024;

}

void
RetryBudget::SetNodes(std::size_t aNodes)
{
  m_nodes = static_cast<double>(std::max<std::size_t>(aNodes, 1));
}

void
RetryBudget::CountRequest(const std::string& aService, Instant aNow)
{
  Counts& counts = CountsOf(aService, aNow);
  ++counts.m_requests.at(static_cast<std::size_t>(counts.m_step) %
                         counts.m_requests.size());
}

bool
RetryBudget::TryConsumeRetry(const std::string& aService, Instant aNow)
{
  Counts& counts = CountsOf(aService, aNow);
  const auto sum = [](const auto& aSteps) {
    return static_cast<double>(
      std::accumulate(aSteps.begin(), aSteps.end(), std::uint64_t{ 0 }));
  };
  // The oldest step is partly outside the window. Its retries count and its
  // requests don't, so the limit holds in every window.
  auto requests = counts.m_requests;
  requests.at(static_cast<std::size_t>(counts.m_step + 1) % requests.size()) =
    0;
  const double allowed =
    m_limits.m_ratio * sum(requests) + m_limits.m_slack / m_nodes;
  if (sum(counts.m_retries) + 1 > allowed) {
    return false;
  }
  ++counts.m_retries.at(static_cast<std::size_t>(counts.m_step) %
                        counts.m_retries.size());
  return true;
}

RetryBudget::Counts&
RetryBudget::CountsOf(const std::string& aService, Instant aNow)
{
  const bool isFull = m_services.size() >= kServiceLimit;
  Counts& counts =
    m_services[isFull && !m_services.contains(aService) ? std::string()
                                                        : aService];
  const std::int64_t step =
    aNow.time_since_epoch() /
    (m_limits.m_window / static_cast<Duration::rep>(kSteps));
  const std::int64_t first =
    std::max(counts.m_step + 1,
             step - static_cast<std::int64_t>(counts.m_requests.size()) + 1);
  for (std::int64_t cleared = first; cleared <= step; ++cleared) {
    const auto index =
      static_cast<std::size_t>(cleared) % counts.m_requests.size();
    counts.m_requests.at(index) = 0;
    counts.m_retries.at(index) = 0;
  }
  counts.m_step = std::max(counts.m_step, step);
  return counts;
}

}
