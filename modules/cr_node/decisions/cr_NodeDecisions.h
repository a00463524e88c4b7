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

/** Status of a node, for operators. */
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
  /** Number of key partitions that have or had an owner, by service. */
  std::map<std::string, std::size_t> m_ownedPartitions;
  std::size_t m_knownNodes = 0;
};

/** Decision logic of a node: turns events into actions.

    All methods are thread safe: the state is split into flows and shards, each
    under its own lock, and no two locks are ever held at once. On a single
    thread it is deterministic: the same events at the same times give the same
    actions. */
class NodeDecisions
{
public:
  /** Creates a node that knows no other nodes yet. */
  explicit NodeDecisions(NodeIdentity aIdentity, PolicySwitches aPolicy = {});

  //==========================================================================
  /** Handles one event and appends the resulting actions. */
  void Handle(const Event& aEvent, Moment aMoment, Actions& aActions);

  //==========================================================================
  /** Returns the time at which the next TimerDue event must be delivered. */
  Instant NextWakeup() const;

  /** Returns the node's status, for operators. */
  NodeStatus Status() const;

  /** Returns the active generation; 0 when there is none. */
  Generation ActiveGeneration() const
  {
    return m_shared.m_configuration.Current()->m_generation;
  }

  /** Returns whether the active configuration has the operation and says that
      it may run more than once. */
  bool IsIdempotent(const OperationName& aOperation) const;

  /** Returns the row of a host; nothing when it is unknown or expired. */
  std::optional<NodeRow> FindNode(const HostName& aHost) const;

  /** Returns the identity of the node. */
  const NodeIdentity& Identity() const { return m_shared.m_identity; }

private:
  void HandleEvent(const CustomerCall& aEvent,
                   Moment aMoment,
                   Actions& aActions);
  void HandleEvent(const ChildCall& aEvent, Moment aMoment, Actions& aActions);
  void HandleEvent(const CallerDisconnected& aEvent,
                   Moment aMoment,
                   Actions& aActions);
  void HandleEvent(const ServerAnnounced& aEvent,
                   Moment aMoment,
                   Actions& aActions);
  void HandleEvent(const GossipReceived& aEvent,
                   Moment aMoment,
                   Actions& aActions);
  void HandleEvent(const GossipAnswered& aEvent,
                   Moment aMoment,
                   Actions& aActions);
  void HandleEvent(const ObjectRequested& aEvent,
                   Moment aMoment,
                   Actions& aActions);
  void HandleEvent(const ObjectFetched& aEvent,
                   Moment aMoment,
                   Actions& aActions);
  void HandleEvent(const StoreAnswered& aEvent,
                   Moment aMoment,
                   Actions& aActions);
  void HandleEvent(const TimerDue& aEvent, Moment aMoment, Actions& aActions);
  void HandleEvent(const ShutdownRequested& aEvent,
                   Moment aMoment,
                   Actions& aActions);

  void HandleOwnershipAnswer(const StoreAnswered& aEvent,
                             Moment aMoment,
                             Actions& aActions);

  /* Handles events of forwarded calls in the shard given by the attempt's
     identifier. */
  template<typename AttemptEvent>
  void HandleAtEntry(const AttemptEvent& aEvent,
                     Moment aMoment,
                     Actions& aActions);

  template<typename GateEvent>
  void HandleAtGate(const GateEvent& aEvent, Moment aMoment, Actions& aActions);

  void ProcessLocalActions(FlowOutput&& aOutput,
                           Moment aMoment,
                           Actions& aActions);
  void OnPeerGeneration(Generation aGeneration,
                        const std::optional<Endpoint>& aPeer,
                        Moment aMoment,
                        Actions& aActions);
  void GossipChanges(Moment aMoment, Actions& aActions);
  void PropagateServerState(Moment aMoment, Actions& aActions);
  void AdvanceOwnership(Moment aMoment, Actions& aActions);

  NodeShared m_shared;
  std::array<std::unique_ptr<Guarded<EntryFlow>>, kShardCount> m_entries;
  Guarded<GateFlow> m_gate;
  Guarded<DirectoryFlow> m_directory;
  Guarded<ConfigurationFlow> m_configurationFlow;
  Guarded<OwnershipFlow> m_ownership;
};

}
