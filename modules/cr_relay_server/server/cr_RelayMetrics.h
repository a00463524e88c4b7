#pragma once

#include <string>

#include "cr_metrics/cr_metrics.h"
#include "cr_relay/cr_relay.h"
#include "cr_transport/cr_transport.h"

namespace cr {

/** Metrics of a relaying node. They have no influence on its decisions. All
    methods are thread safe. */
class RelayMetrics
{
public:
  RelayMetrics();

  //==========================================================================
  /** Counts a received request; aIngress is `entry` (from a customer) or `peer`
      (from another node). */
  void CountRequest(std::string_view aIngress);

  /** Counts the final answer to a request and records the time since the
      request arrived. */
  void CountAnswer(std::string_view aIngress,
                   Outcome aOutcome,
                   Reason aReason,
                   Duration aDuration);

  /** Counts a request that this node refused as its entry; aLimit is empty if
      no limit refused it. */
  void CountRefusal(Reason aReason, std::string_view aLimit);

  /** Counts a finished dispatch to the backend server and records how long it
      took. */
  void CountDispatch(DispatchResult aResult, Duration aDuration);

  /** Counts a logged decision by its event name. */
  void CountDecision(std::string_view aEvent);

  /** Counts an answer of the platform's store. */
  void CountStore(const StoreRequest& aRequest, const StoreAnswer& aAnswer);

  /** Records how late the process reads from a readable descriptor.
      @see EventLoopProbe */
  void ObserveReadDelay(Duration aDelay);

  //==========================================================================
  /** Returns all metrics in the Prometheus text exposition format. */
  std::string Write(const RelayStatus& aStatus,
                    const MemoryAccount& aAccount,
                    std::uint64_t aLostLogLines) const;

private:
  MetricRegistry m_registry;
};

}
