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

/** What the control traffic of a fleet came to. */
struct FleetCost
{
  std::uint64_t m_bytes = 0;
  std::uint64_t m_storeReads = 0;
  std::uint64_t m_storeWrites = 0;
  std::uint64_t m_rumours = 0;
  /** Processor time of all nodes' decisions, and of their codecs. */
  std::chrono::nanoseconds m_decisionTime{};
  std::chrono::nanoseconds m_codecTime{};
};

/** Many nodes' decisions without calls, in virtual time and one thread: they
    announce servers, exchange rumours and use an in-process platform. Bytes are
    those of the texts that the network shell would send, with an allowance for
    the headers of HTTP and TCP.

    Not thread safe. The same seed gives the same run. */
class Fleet
{
public:
  /** Starts the nodes, and puts service files into force. */
  Fleet(std::size_t aNodes, std::uint64_t aSeed);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  //==========================================================================
  /** Lets virtual time pass. */
  void RunFor(Duration aTime);

  /** Runs until the condition holds or the limit has passed. Returns the time
      that it took. */
  Duration RunUntil(const std::function<bool()>& aCondition, Duration aLimit);

  /** Replaces a node by a new incarnation. */
  void Restart(std::size_t aNode);

  /** The node's backend server leaves. */
  void Leave(std::size_t aNode);

  /** Publishes a change of one service. Returns the generation. */
  Generation PublishChange();

  /** Switches the platform off or on. */
  void SetPlatformDown(bool aDown) { m_platformDown = aDown; }

  /** Counts from now on anew. */
  void ResetCost() { m_cost = {}; }

  //==========================================================================
  /** Returns the number of nodes. */
  std::size_t Size() const { return m_nodes.size(); }

  /** Returns the number of nodes that have the generation in force. */
  std::size_t CountInForce(Generation aGeneration) const;

  /** Returns the number of nodes that know that the node's server leaves. */
  std::size_t CountKnowLeaving(std::size_t aNode) const;

  /** Returns the cost since ResetCost(). */
  const FleetCost& Cost() const { return m_cost; }

private:
  struct Node;
  struct Scheduled
  {
    Instant m_at;
    std::uint64_t m_order = 0;
    std::function<void()> m_function;
  };
  struct Later
  {
    bool operator()(const Scheduled& aLeft, const Scheduled& aRight) const
    {
      return std::tie(aLeft.m_at, aLeft.m_order) >
             std::tie(aRight.m_at, aRight.m_order);
    }
  };

  void After(Duration aDelay, std::function<void()> aFunction);
  void Announce(std::size_t aNode);
  void Feed(std::size_t aNode, const Event& aEvent);
  void ArmTimer(std::size_t aNode);
  void Start(std::size_t aNode);
  void Carry(std::size_t aNode, const SendGossip& aAction);
  void Carry(std::size_t aNode, const FetchObject& aAction);
  void Carry(std::size_t aNode, const CallStore& aAction);
  template<typename Answer>
  Answer HandleNow(std::size_t aNode, const Event& aEvent);
  Moment Now() const;
  HostName NameOf(std::size_t aNode) const;
  std::string ServiceOf(std::size_t aNode) const;
  std::vector<ServiceFileText> Files(int aPatience) const;

  std::vector<std::unique_ptr<Node>> m_nodes;
  std::size_t m_services;
  InProcessPlatform m_platform;
  std::priority_queue<Scheduled, std::vector<Scheduled>, Later> m_schedule;
  Instant m_now;
  std::uint64_t m_order = 0;
  std::uint64_t m_calls = 0;
  std::uint64_t m_seed;
  int m_publications = 0;
  bool m_platformDown = false;
  FleetCost m_cost;
};

}
