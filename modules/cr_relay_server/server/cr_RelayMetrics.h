#pragma once

#include <string>

#include "cr_metrics/cr_metrics.h"
#include "cr_relay/cr_relay.h"

namespace cr {

/** Counts what a relaying node does. It only watches. All methods are thread
    safe. */
class RelayMetrics
{
public:
  RelayMetrics();

  //==========================================================================
  /** Counts a request that arrived; aAt is `entry` or `peer`. */
  void CountRequest(std::string_view aAt);

  /** Counts the final answer of a request, and the time since it arrived. */
  void CountAnswer(std::string_view aAt,
                   Outcome aOutcome,
                   Reason aReason,
                   Duration aTime);

  /** Counts a request that ended at the backend server, and its time there. */
  void CountHandOver(DispatchResult aVerdict, Duration aTime);

  /** Counts a decision that was logged. */
  void CountDecision(std::string_view aEvent);

  /** Counts an answer of the platform. */
  void CountStore(const StoreRequest& aRequest, const StoreAnswer& aAnswer);

  //==========================================================================
  /** Writes all metrics in the text exposition format. */
  std::string Write(const RelayStatus& aStatus, std::uint64_t aLostLines) const;

private:
  MetricRegistry m_registry;
};

}
