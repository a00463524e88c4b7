#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "cr_node/cr_node.h"

namespace cr {

/** Totals of the control traffic of a fleet. */
struct FleetCost
{
  std::uint64_t m_bytes = 0;
  std::uint64_t m_storeReads = 0;
  std::uint64_t m_storeWrites = 0;
  std::uint64_t m_gossipMessages = 0;
  /** Processor time of all nodes, spent on decisions and on encoding and
      decoding of messages. */
  std::chrono::nanoseconds m_decisionTime{};
  std::chrono::nanoseconds m_codecTime{};
};

/** Simulates the control plane of many nodes in virtual time on one thread. The
    nodes announce backend servers, exchange gossip messages and use an
    in-process platform; they serve no calls. Bytes are counted as the size of
    the encoded messages plus an allowance for HTTP and TCP headers.

    Not thread safe. The same seed gives the same run. */
class Fleet
{
public:
  /** Starts the nodes and publishes the service files. */
  Fleet(std::size_t aNodes, std::uint64_t aSeed);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  //==========================================================================
  /** Advances virtual time and runs the events that are due. */
  void RunFor(Duration aTime);

  /** Runs until the condition holds or the limit has passed. Returns the
      elapsed virtual time. */
  Duration RunUntil(const std::function<bool()>& aCondition, Duration aLimit);

  /** Restarts a node with a new incarnation and empty state. */
  void Restart(std::size_t aNode);

  /** Announces that the node's backend server leaves. */
  void Leave(std::size_t aNode);

  /** Publishes a change of one service. Returns its generation. */
  Generation PublishChange();

  /** Sets whether the platform's store is down; requests to it then time out.
   */
  void SetPlatformDown(bool aDown) { m_platformDown = aDown; }

  /** Resets the totals to zero. */
  void ResetCost() { m_cost = {}; }

  //==========================================================================
  /** Returns the number of nodes. */
  std::size_t Size() const { return m_nodes.size(); }

  /** Returns the number of nodes on which the generation is active. */
  std::size_t CountActive(Generation aGeneration) const;

  /** Returns the number of nodes that see the node's server as leaving. */
  std::size_t CountSeenLeaving(std::size_t aNode) const;

  /** Returns the totals since ResetCost(). */
  const FleetCost& Cost() const { return m_cost; }

private:
  struct Node;
  struct Scheduled
  {
    Instant m_at;
    std::uint64_t m_order = 0;
    std::function<void()> m_function;
  };
  struct IsLater
  {
    bool operator()(const Scheduled& aLeft, const Scheduled& aRight) const
    {
      return std::tie(aLeft.m_at, aLeft.m_order) >
             std::tie(aRight.m_at, aRight.m_order);
    }
  };

  void ScheduleAfter(Duration aDelay, std::function<void()> aFunction);
  void Announce(std::size_t aNode);
  void HandleEvent(std::size_t aNode, const Event& aEvent);
  void ArmTimer(std::size_t aNode);
  void Start(std::size_t aNode);
  void ExecuteAction(std::size_t aNode, const SendGossip& aAction);
  void ExecuteAction(std::size_t aNode, const FetchObject& aAction);
  void ExecuteAction(std::size_t aNode, const CallStore& aAction);
  template<typename Answer>
  Answer HandleAndAnswer(std::size_t aNode, const Event& aEvent);
  Moment Now() const;
  HostName HostNameOf(std::size_t aNode) const;
  std::string ServiceOf(std::size_t aNode) const;
  std::vector<ServiceFileText> MakeServiceFiles(int aCallerTimeoutMs) const;

  std::vector<std::unique_ptr<Node>> m_nodes;
  std::size_t m_services;
  InProcessPlatform m_platform;
  std::priority_queue<Scheduled, std::vector<Scheduled>, IsLater> m_schedule;
  Instant m_now;
  std::uint64_t m_order = 0;
  std::uint64_t m_calls = 0;
  std::uint64_t m_seed;
  int m_publications = 0;
  bool m_platformDown = false;
  FleetCost m_cost;
};

}
