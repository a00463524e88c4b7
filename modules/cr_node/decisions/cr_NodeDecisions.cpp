#include "cr_node/decisions/cr_NodeDecisions.h"

#include <algorithm>
#include <type_traits>

namespace cr {

namespace {

template<typename Type, typename... Types>
constexpr bool kIsOneOf = (std::is_same_v<Type, Types> || ...);

}

NodeDecisions::NodeDecisions(NodeIdentity aIdentity, PolicySwitches aPolicy)
  : m_shared(std::move(aIdentity), aPolicy)
  , m_gate(m_shared)
  , m_directory(m_shared)
  , m_configurationFlow(m_shared)
  , m_ownership(m_shared)
{
  for (std::size_t shard = 0; shard < kShardCount; ++shard) {
    m_entries.at(shard) = std::make_unique<Guarded<EntryFlow>>(m_shared, shard);
  }
}

void
NodeDecisions::Handle(const Event& aEvent, Moment aMoment, Actions& aActions)
{
  std::visit(
    [&](const auto& aTyped) {
      using Type = std::decay_t<decltype(aTyped)>;
      if constexpr (kIsOneOf<Type,
                             AttemptAnswered,
                             AttemptFailed,
                             WithdrawalAnswered>) {
        HandleAtEntry(aTyped, aMoment, aActions);
        if constexpr (std::is_same_v<Type, AttemptAnswered>) {
          OnPeerGeneration(
            aTyped.m_report.m_generation, std::nullopt, aMoment, aActions);
        }
      } else if constexpr (kIsOneOf<Type,
                                    PeerCall,
                                    WithdrawalRequested,
                                    ServerAnswered,
                                    ServerFailed>) {
        HandleAtGate(aTyped, aMoment, aActions);
        if constexpr (std::is_same_v<Type, PeerCall>) {
          OnPeerGeneration(
            aTyped.m_header.m_generation, std::nullopt, aMoment, aActions);
        }
        if constexpr (std::is_same_v<Type, ServerFailed>) {
          GossipChanges(aMoment, aActions);
        }
      } else {
        HandleEvent(aTyped, aMoment, aActions);
      }
    },
    aEvent);
}

Instant
NodeDecisions::NextWakeup() const
{
  Instant due =
    std::min(m_directory.WithLock(
               [](const DirectoryFlow& aFlow) { return aFlow.NextWakeup(); }),
             m_configurationFlow.WithLock([](const ConfigurationFlow& aFlow) {
               return aFlow.NextWakeup();
             }));
  due = std::min(due, m_ownership.WithLock([](const OwnershipFlow& aFlow) {
    return aFlow.NextWakeup();
  }));
  const auto gateDue =
    m_gate.WithLock([](const GateFlow& aFlow) { return aFlow.NextWakeup(); });
  return gateDue ? std::min(due, *gateDue) : due;
}

NodeStatus
NodeDecisions::Status() const
{
  NodeStatus status;
  status.m_host = m_shared.m_identity.m_host;
  status.m_incarnation = m_shared.m_identity.m_incarnation;
  status.m_generation = m_shared.m_configuration.Current()->m_generation;
  m_gate.WithLock([&](const GateFlow& aFlow) {
    status.m_server = aFlow.Server();
    status.m_running = aFlow.GateState().Running();
    status.m_waiting = aFlow.GateState().Waiting();
    status.m_level = aFlow.GateState().Level();
  });
  for (const auto& entry : m_entries) {
    status.m_entryCalls +=
      entry->WithLock([](const EntryFlow& aFlow) { return aFlow.Size(); });
  }
  status.m_hosts = m_shared.m_routers.HostCounts();
  status.m_ownedPartitions = m_shared.m_owners.OwnedPartitions();
  status.m_knownNodes = m_directory.WithLock(
    [](const DirectoryFlow& aFlow) { return aFlow.View().Size(); });
  return status;
}

bool
NodeDecisions::IsIdempotent(const OperationName& aOperation) const
{
  const ConfigurationPointer configuration = m_shared.m_configuration.Current();
  const OperationDescription* operation = configuration->Find(aOperation);
  return operation != nullptr && operation->m_idempotent;
}

std::optional<NodeRow>
NodeDecisions::FindNode(const HostName& aHost) const
{
  return m_directory.WithLock(
    [&](const DirectoryFlow& aFlow) -> std::optional<NodeRow> {
      const NodeRow* row = aFlow.View().Find(aHost);
      return row == nullptr ? std::nullopt : std::optional<NodeRow>(*row);
    });
}

void
NodeDecisions::HandleEvent(const CustomerCall& aEvent,
                           Moment aMoment,
                           Actions& aActions)
{
  FlowOutput output;
  m_entries.at(ShardOf(static_cast<std::uint64_t>(aEvent.m_call)))
    ->WithLock([&](EntryFlow& aFlow) { aFlow.Start(aEvent, aMoment, output); });
  ProcessLocalActions(std::move(output), aMoment, aActions);
}

void
NodeDecisions::HandleEvent(const ChildCall& aEvent,
                           Moment aMoment,
                           Actions& aActions)
{
  const auto inheritance = m_gate.WithLock([&](GateFlow& aFlow) {
    return aFlow.OpenChild(aEvent.m_parent, aEvent.m_operation, aMoment);
  });
  if (!inheritance) {
    CallReport report;
    report.m_outcome = Outcome::NotRun;
    report.m_reason = Reason::CallerGone;
    aActions.emplace_back(AnswerCall{ aEvent.m_call, {}, report, nullptr });
    return;
  }
  FlowOutput output;
  m_entries.at(ShardOf(static_cast<std::uint64_t>(aEvent.m_call)))
    ->WithLock([&](EntryFlow& aFlow) {
      aFlow.Start(aEvent, *inheritance, aMoment, output);
    });
  ProcessLocalActions(std::move(output), aMoment, aActions);
}

void
NodeDecisions::HandleEvent(const CallerDisconnected& aEvent,
                           Moment aMoment,
                           Actions& aActions)
{
  FlowOutput output;
  m_entries.at(ShardOf(static_cast<std::uint64_t>(aEvent.m_call)))
    ->WithLock(
      [&](EntryFlow& aFlow) { aFlow.Handle(aEvent, aMoment, output); });
  m_gate.WithLock(
    [&](GateFlow& aFlow) { aFlow.Handle(aEvent, aMoment, output); });
  ProcessLocalActions(std::move(output), aMoment, aActions);
}

void
NodeDecisions::HandleEvent(const ServerAnnounced& aEvent,
                           Moment aMoment,
                           Actions& aActions)
{
  HandleAtGate(aEvent, aMoment, aActions);
  PropagateServerState(aMoment, aActions);
}

void
NodeDecisions::HandleEvent(const GossipReceived& aEvent,
                           Moment aMoment,
                           Actions& aActions)
{
  m_shared.m_suspects.WithLock([&](SuspectTable& aTable) {
    aTable.Merge(aEvent.m_message.m_suspects, aMoment.m_now);
  });
  m_directory.WithLock(
    [&](DirectoryFlow& aFlow) { aFlow.Handle(aEvent, aMoment, aActions); });
  OnPeerGeneration(aEvent.m_message.m_generation,
                   aEvent.m_message.m_sender.m_peer,
                   aMoment,
                   aActions);
}

void
NodeDecisions::HandleEvent(const GossipAnswered& aEvent,
                           Moment aMoment,
                           Actions& aActions)
{
  if (aEvent.m_message) {
    m_shared.m_suspects.WithLock([&](SuspectTable& aTable) {
      aTable.Merge(aEvent.m_message->m_suspects, aMoment.m_now);
    });
  }
  m_directory.WithLock(
    [&](DirectoryFlow& aFlow) { aFlow.Handle(aEvent, aMoment, aActions); });
  if (aEvent.m_message) {
    OnPeerGeneration(aEvent.m_message->m_generation,
                     aEvent.m_message->m_sender.m_peer,
                     aMoment,
                     aActions);
  }
}

void
NodeDecisions::HandleEvent(const ObjectRequested& aEvent,
                           Moment aMoment,
                           Actions& aActions)
{
  m_configurationFlow.WithLock(
    [&](ConfigurationFlow& aFlow) { aFlow.Handle(aEvent, aMoment, aActions); });
}

void
NodeDecisions::HandleEvent(const ObjectFetched& aEvent,
                           Moment aMoment,
                           Actions& aActions)
{
  m_configurationFlow.WithLock(
    [&](ConfigurationFlow& aFlow) { aFlow.Handle(aEvent, aMoment, aActions); });
  GossipChanges(aMoment, aActions);
}

void
NodeDecisions::HandleEvent(const StoreAnswered& aEvent,
                           Moment aMoment,
                           Actions& aActions)
{
  switch (aEvent.m_call.m_client) {
    case StoreClient::Directory:
      m_directory.WithLock(
        [&](DirectoryFlow& aFlow) { aFlow.Handle(aEvent, aMoment, aActions); });
      return;
    case StoreClient::Configuration:
      m_configurationFlow.WithLock([&](ConfigurationFlow& aFlow) {
        aFlow.Handle(aEvent, aMoment, aActions);
      });
      GossipChanges(aMoment, aActions);
      return;
    case StoreClient::Ownership:
      HandleOwnershipAnswer(aEvent, aMoment, aActions);
      return;
  }
}

void
NodeDecisions::HandleEvent(const TimerDue& /*aEvent*/,
                           Moment aMoment,
                           Actions& aActions)
{
  FlowOutput output;
  m_gate.WithLock([&](GateFlow& aFlow) { aFlow.Advance(aMoment, output); });
  for (const auto& entry : m_entries) {
    entry->WithLock([&](EntryFlow& aFlow) { aFlow.Advance(aMoment, output); });
  }
  ProcessLocalActions(std::move(output), aMoment, aActions);
  PropagateServerState(aMoment, aActions);
  const std::size_t nodes = m_directory.WithLock(
    [](const DirectoryFlow& aFlow) { return aFlow.View().Size(); });
  m_configurationFlow.WithLock([&](ConfigurationFlow& aFlow) {
    aFlow.SetFleetSize(nodes);
    aFlow.Advance(aMoment, aActions);
  });
  AdvanceOwnership(aMoment, aActions);
}

void
NodeDecisions::HandleEvent(const ShutdownRequested& aEvent,
                           Moment aMoment,
                           Actions& aActions)
{
  HandleAtGate(aEvent, aMoment, aActions);
  PropagateServerState(aMoment, aActions);
}

void
NodeDecisions::HandleOwnershipAnswer(const StoreAnswered& aEvent,
                                     Moment aMoment,
                                     Actions& aActions)
{
  const auto service = m_ownership.WithLock([&](OwnershipFlow& aFlow) {
    return aFlow.Handle(aEvent, aMoment, aActions);
  });
  if (!service) {
    return;
  }
  for (const auto& entry : m_entries) {
    FlowOutput output;
    entry->WithLock(
      [&](EntryFlow& aFlow) { aFlow.Resume(*service, aMoment, output); });
    ProcessLocalActions(std::move(output), aMoment, aActions);
  }
}

template<typename AttemptEvent>
void
NodeDecisions::HandleAtEntry(const AttemptEvent& aEvent,
                             Moment aMoment,
                             Actions& aActions)
{
  FlowOutput output;
  m_entries.at(ShardOf(aEvent.m_attempt.m_low))
    ->WithLock(
      [&](EntryFlow& aFlow) { aFlow.Handle(aEvent, aMoment, output); });
  ProcessLocalActions(std::move(output), aMoment, aActions);
}

template<typename GateEvent>
void
NodeDecisions::HandleAtGate(const GateEvent& aEvent,
                            Moment aMoment,
                            Actions& aActions)
{
  FlowOutput output;
  m_gate.WithLock(
    [&](GateFlow& aFlow) { aFlow.Handle(aEvent, aMoment, output); });
  ProcessLocalActions(std::move(output), aMoment, aActions);
}

void
NodeDecisions::ProcessLocalActions(FlowOutput&& aOutput,
                                   Moment aMoment,
                                   Actions& aActions)
{
  if (!aOutput.m_endedChildren.empty()) {
    m_gate.WithLock([&](GateFlow& aFlow) {
      for (const ChildEnded& ended : aOutput.m_endedChildren) {
        aFlow.CloseChild(ended, aMoment);
      }
    });
  }
  std::move(aOutput.m_actions.begin(),
            aOutput.m_actions.end(),
            std::back_inserter(aActions));
}

/* A call or a gossip message carried a generation that is active at another
   node. */
void
NodeDecisions::OnPeerGeneration(Generation aGeneration,
                                const std::optional<Endpoint>& aPeer,
                                Moment aMoment,
                                Actions& aActions)
{
  if (aGeneration <= m_shared.m_configuration.Current()->m_generation) {
    return;
  }
  m_configurationFlow.WithLock([&](ConfigurationFlow& aFlow) {
    aFlow.OnPeerGeneration(aGeneration, aPeer, aMoment, aActions);
  });
}

void
NodeDecisions::GossipChanges(Moment aMoment, Actions& aActions)
{
  m_directory.WithLock([&](DirectoryFlow& aFlow) {
    aFlow.GossipChanges(aMoment);
    aFlow.GossipSuspects(aMoment);
    aFlow.Advance(aMoment, aActions);
  });
}

void
NodeDecisions::PropagateServerState(Moment aMoment, Actions& aActions)
{
  const ServerView server =
    m_gate.WithLock([](const GateFlow& aFlow) { return aFlow.Server(); });
  m_directory.WithLock([&](DirectoryFlow& aFlow) {
    aFlow.SetServer(server.m_service, server.m_state, aMoment);
    aFlow.Advance(aMoment, aActions);
  });
  m_ownership.WithLock([&](OwnershipFlow& aFlow) {
    aFlow.SetServer(server.m_service, server.m_state, aMoment);
  });
}

void
NodeDecisions::AdvanceOwnership(Moment aMoment, Actions& aActions)
{
  const auto service = m_ownership.WithLock([&](const OwnershipFlow& aFlow) {
    return aFlow.NextWakeup() <= aMoment.m_now ? std::optional(aFlow.Service())
                                               : std::nullopt;
  });
  if (!service) {
    return;
  }
  std::vector<Owner> ready;
  m_directory.WithLock([&](const DirectoryFlow& aFlow) {
    for (const HostName& host : aFlow.View().Hosts()) {
      const NodeRow* row = aFlow.View().Find(host);
      if (row != nullptr && row->m_service == *service &&
          row->m_state == ServerState::Ready) {
        ready.push_back({ row->m_host, row->m_incarnation, row->m_peer });
      }
    }
  });
  m_ownership.WithLock([&](OwnershipFlow& aFlow) {
    aFlow.SetReady(std::move(ready));
    aFlow.Advance(aMoment, aActions);
  });
}

}
