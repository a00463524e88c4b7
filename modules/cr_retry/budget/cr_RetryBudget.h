#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "cr_core/cr_core.h"

namespace cr {

/** Limits on the retries of all nodes together. */
struct RetryBudgetLimits
{
  /** Retries per request, over any window. */
  double m_ratio = 0.1;
  /** Additional retries in any window, summed over all nodes. */
  double m_slack = 10;
  Duration m_window = Seconds(10);
};

/** One node's part of a retry budget that all nodes share without messages
    between them.

    For each service, a node's retries in the window that ends now are limited
    to the ratio of its own requests in that window plus its part of the slack,
    which is the slack divided by the number of nodes. So the sum over the nodes
    stays within the limits in every window. A node that has just started has
    counted no requests and makes fewer retries. Not thread safe. */
class RetryBudget
{
public:
  /** Creates a budget without any counts. */
  explicit RetryBudget(RetryBudgetLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /** Changes the limits and keeps the counts. */
  void SetLimits(const RetryBudgetLimits& aLimits) { m_limits = aLimits; }

  /** Sets the number of nodes that share the slack; at least 1. */
  void SetNodes(std::size_t aNodes);

  /** Counts a request for the service. */
  void CountRequest(const std::string& aService, Instant aNow);

  /** Consumes one retry. Returns false, and consumes nothing, when none is
      left. */
  bool TryConsumeRetry(const std::string& aService, Instant aNow);

private:
  static constexpr std::size_t kSteps = 20;

  /* Ring buffers of counts in steps of the window, the current step
     included. */
  struct Counts
  {
    std::array<std::uint32_t, kSteps + 1> m_requests{};
    std::array<std::uint32_t, kSteps + 1> m_retries{};
    std::int64_t m_step = 0;
  };

  Counts& CountsOf(const std::string& aService, Instant aNow);

  RetryBudgetLimits m_limits;
  double m_nodes = 1;
  std::map<std::string, Counts, std::less<>> m_services;
};

}
