#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "cr_core/cr_core.h"

namespace cr {

/** What all nodes together may spend on repeats. */
struct RetryBudgetLimits
{
  /** Repeats for each request, over any window. */
  double m_ratio = 0.1;
  /** Repeats beyond that, in any window, over all nodes. */
  double m_slack = 10;
  Duration m_window = Seconds(10);
};

/** One node's part of a budget of repeats that all nodes share, without a
    message between them.

    A node spends at most the ratio of its own requests for the service in the
    window that ends now, and its part of the slack, which is the slack divided
    by the number of nodes. So the sum over the nodes stays within the whole in
    every window. A node that has just started has counted nothing and spends
    less. Not thread safe. */
class RetryBudget
{
public:
  /** Starts with nothing counted. */
  explicit RetryBudget(RetryBudgetLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /** Changes the limits; what was counted stays. */
  void SetLimits(const RetryBudgetLimits& aLimits) { m_limits = aLimits; }

  /** Sets the number of nodes that share the slack; at least 1. */
  void SetNodes(std::size_t aNodes);

  /** Counts a request for the service. */
  void CountRequest(const std::string& aService, Instant aNow);

  /** Spends one repeat. Returns false, and spends nothing, when none is
      left. */
  bool Take(const std::string& aService, Instant aNow);

private:
  static constexpr std::size_t kSteps = 20;

  /* Counts in steps of the window; the step that is being filled belongs to
     the window too. */
  struct Counts
  {
    std::array<std::uint32_t, kSteps + 1> m_requests{};
    std::array<std::uint32_t, kSteps + 1> m_repeats{};
    std::int64_t m_step = 0;
  };

  Counts& CountsOf(const std::string& aService, Instant aNow);

  RetryBudgetLimits m_limits;
  double m_nodes = 1;
  std::map<std::string, Counts, std::less<>> m_services;
};

}
