#include "cr_retry/budget/cr_RetryBudget.h"

#include <algorithm>
#include <numeric>

namespace cr {

namespace {

/* Services that are counted; those beyond share one count. */
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
RetryBudget::Take(const std::string& aService, Instant aNow)
{
  Counts& counts = CountsOf(aService, aNow);
  const auto sum = [](const auto& aSteps) {
    return static_cast<double>(
      std::accumulate(aSteps.begin(), aSteps.end(), std::uint64_t{ 0 }));
  };
  // The oldest step has left the window in part; its requests count no more,
  // its repeats still do.
  auto requests = counts.m_requests;
  requests.at(static_cast<std::size_t>(counts.m_step + 1) % requests.size()) =
    0;
  const double allowed =
    m_limits.m_ratio * sum(requests) + m_limits.m_slack / m_nodes;
  if (sum(counts.m_repeats) + 1 > allowed) {
    return false;
  }
  ++counts.m_repeats.at(static_cast<std::size_t>(counts.m_step) %
                        counts.m_repeats.size());
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
  for (std::int64_t emptied = first; emptied <= step; ++emptied) {
    const auto index =
      static_cast<std::size_t>(emptied) % counts.m_requests.size();
    counts.m_requests.at(index) = 0;
    counts.m_repeats.at(index) = 0;
  }
  counts.m_step = std::max(counts.m_step, step);
  return counts;
}

}
