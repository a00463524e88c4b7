#pragma once

#include <array>
#include <span>
#include <string>
#include <unordered_map>

#include "cr_metrics/cr_metrics.h"
#include "cr_node/cr_node.h"

namespace cr {

/** Path of the metrics on the operator port. */
inline constexpr std::string_view kMetricsPath = "/metrics";

/** Resource usage of a node since its start. */
struct NodeUsage
{
  ProcessUsage m_process;
  /** Bytes of control messages, in and out. */
  std::uint64_t m_controlBytes = 0;
};

/** Counts the events that a node handles and the actions that follow from them,
    without influence on either. All methods are thread safe. */
class NodeMetrics
{
public:
  NodeMetrics();

  //==========================================================================
  /** Counts one event together with the actions that followed from it. */
  void Observe(const Event& aEvent,
               std::span<const Action> aActions,
               Instant aNow);

  //==========================================================================
  /** Writes all metrics, with gauges from the status, in the text exposition
      format. */
  std::string Write(const NodeStatus& aStatus) const;

  /** Returns the resource usage of the process and the bytes of its control
      messages so far. */
  NodeUsage Usage() const;

private:
  /* Labels and timestamps of a call in progress, read when it is answered. */
  struct TrackedCall
  {
    OperationName m_operation;
    Importance m_importance = Importance::Normal;
    std::string_view m_arrivalPoint;
    Instant m_arrived;
    Instant m_dispatched;
  };
  using TrackedCalls = std::unordered_map<CallId, TrackedCall>;

  void Count(const CustomerCall& aEvent, Instant aNow);
  void Count(const ChildCall& aEvent, Instant aNow);
  void Count(const PeerCall& aEvent, Instant aNow);
  void Count(const CallerDisconnected& aEvent, Instant aNow);
  void Count(const AttemptFailed& aEvent, Instant aNow);
  void Count(const WithdrawalAnswered& aEvent, Instant aNow);
  void Count(const ServerAnswered& aEvent, Instant aNow);
  void Count(const ServerFailed& aEvent, Instant aNow);
  void Count(const GossipReceived& aEvent, Instant aNow);
  void Count(const GossipAnswered& aEvent, Instant aNow);
  void Count(const StoreAnswered& aEvent, Instant aNow);
  void Count(const DispatchCall& aAction, Instant aNow);
  void Count(const AnswerCall& aAction, Instant aNow);
  void Count(const SendGossip& aAction, Instant aNow);
  void Count(const AnswerGossip& aAction, Instant aNow);
  void Count(const CallStore& aAction, Instant aNow);
  template<typename Other>
  void Count(const Other& /*aOther*/, Instant /*aNow*/)
  {
  }

  void CountForward(const ForwardCall& aAction, bool aRetry);
  void CountServer(CallId aCall, std::string_view aResult, Instant aNow);
  void CountControl(std::string_view aKind,
                    std::string_view aDirection,
                    std::size_t aBytes);
  void StartTracking(CallId aCall, TrackedCall aTracked);
  Guarded<TrackedCalls>& ShardOf(CallId aCall);

  MetricRegistry m_registry;
  std::array<Guarded<TrackedCalls>, kShardCount> m_trackedCalls;
};

}
