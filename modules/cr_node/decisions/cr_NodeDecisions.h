#pragma once

#include <array>
#include <string>

#include "cr_node/event/cr_Action.h"
#include "cr_node/event/cr_NodeIdentity.h"
#include "cr_node/flow/cr_ConfigurationFlow.h"
#include "cr_node/flow/cr_DirectoryFlow.h"
#include "cr_node/flow/cr_EntryFlow.h"
#include "cr_node/flow/cr_GateFlow.h"
#include "cr_node/flow/cr_OwnershipFlow.h"

namespace cr {

/** What a node says of itself to operators. */
struct NodeStatus
{
  HostName m_host;
  Incarnation m_incarnation{};
  Generation m_generation = 0;
  ServerView m_server;
  std::size_t m_running = 0;
  std::size_t m_waiting = 0;
  AdmissionLevel m_level = 0;
  std::size_t m_entryCalls = 0;
  std::map<std::string, std::size_t> m_hosts;
  /** Partitions of keys that have had an owner, by service. */
  std::map<std::string, std::size_t> m_ownedPartitions;
  std::size_t m_knownNodes = 0;
};

/** A whole node's decisions.

    All methods are thread safe: the state is split into parts and shards, each
    under its own lock, and no two locks are ever held at once. With one thread,
    the same events at the same times give the same actions. */
class NodeDecisions
{
public:
  /** Starts a node that knows nobody yet. */
  explicit NodeDecisions(NodeIdentity aIdentity, PolicySwitches aPolicy = {});

  //==========================================================================
  /** Handles one event and adds the actions that follow from it. */
  void Handle(const Event& aEvent, Moment aMoment, Actions& aActions);

  //==========================================================================
  /** Returns the time at which a TimerDue event is wanted. */
  Instant NextWakeup() const;

  /** Returns a report for operators. */
  NodeStatus Status() const;

  /** Returns the generation in force; 0 when there is none. */
  Generation InForce() const
  {
    return m_shared.m_configuration.Current()->m_generation;
  }

  /** Returns the row known of a host; nothing when unknown or lapsed. */
  std::optional<NodeRow> FindNode(const HostName& aHost) const;

  /** Returns who the node is. */
  const NodeIdentity& Identity() const { return m_shared.m_identity; }

private:
  void Do(const CustomerCall& aEvent, Moment aMoment, Actions& aActions);
  void Do(const ChildCall& aEvent, Moment aMoment, Actions& aActions);
  void Do(const CallerGone& aEvent, Moment aMoment, Actions& aActions);
  void Do(const ServerAnnounced& aEvent, Moment aMoment, Actions& aActions);
  void Do(const RumourArrived& aEvent, Moment aMoment, Actions& aActions);
  void Do(const RumourAnswered& aEvent, Moment aMoment, Actions& aActions);
  void Do(const ObjectAsked& aEvent, Moment aMoment, Actions& aActions);
  void Do(const ObjectAnswered& aEvent, Moment aMoment, Actions& aActions);
  void Do(const StoreAnswered& aEvent, Moment aMoment, Actions& aActions);
  void Do(const TimerDue& aEvent, Moment aMoment, Actions& aActions);
  void Do(const ShutdownAsked& aEvent, Moment aMoment, Actions& aActions);

  void DoOwnership(const StoreAnswered& aEvent,
                   Moment aMoment,
                   Actions& aActions);

  /* Events of forwarded calls go to the shard that their attempt names. */
  template<typename AttemptEvent>
  void DoAtEntry(const AttemptEvent& aEvent, Moment aMoment, Actions& aActions);

  template<typename GateEvent>
  void DoAtGate(const GateEvent& aEvent, Moment aMoment, Actions& aActions);

  void Settle(FlowOutput&& aOutput, Moment aMoment, Actions& aActions);
  void NoticeGeneration(Generation aGeneration,
                        const std::optional<Endpoint>& aPeer,
                        Moment aMoment,
                        Actions& aActions);
  void TellChanges(Moment aMoment, Actions& aActions);
  void ShareServerState(Moment aMoment, Actions& aActions);
  void AdvanceOwnership(Moment aMoment, Actions& aActions);

  NodeShared m_shared;
  std::array<std::unique_ptr<Guarded<EntryFlow>>, kShardCount> m_entries;
  Guarded<GateFlow> m_gate;
  Guarded<DirectoryFlow> m_directory;
  Guarded<ConfigurationFlow> m_configurationFlow;
  Guarded<OwnershipFlow> m_ownership;
};

}
