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
                             WithdrawAnswered>) {
        DoAtEntry(aTyped, aMoment, aActions);
        if constexpr (std::is_same_v<Type, AttemptAnswered>) {
          NoticeGeneration(
            aTyped.m_report.m_generation, std::nullopt, aMoment, aActions);
        }
      } else if constexpr (
        kIsOneOf<Type, PeerCall, WithdrawAsked, ServerAnswered, ServerFailed>) {
        DoAtGate(aTyped, aMoment, aActions);
        if constexpr (std::is_same_v<Type, PeerCall>) {
          NoticeGeneration(
            aTyped.m_header.m_generation, std::nullopt, aMoment, aActions);
        }
        if constexpr (std::is_same_v<Type, ServerFailed>) {
          TellChanges(aMoment, aActions);
        }
      } else {
        Do(aTyped, aMoment, aActions);
      }
    },
    aEvent);
}

Instant
NodeDecisions::NextWakeup() const
{
  Instant due =
    std::min(m_directory.With(
               [](const DirectoryFlow& aFlow) { return aFlow.NextDue(); }),
             m_configurationFlow.With(
               [](const ConfigurationFlow& aFlow) { return aFlow.NextDue(); }));
  due = std::min(due, m_ownership.With([](const OwnershipFlow& aFlow) {
    return aFlow.NextDue();
  }));
  const auto gateDue =
    m_gate.With([](const GateFlow& aFlow) { return aFlow.NextDue(); });
  return gateDue ? std::min(due, *gateDue) : due;
}

NodeStatus
NodeDecisions::Status() const
{
  NodeStatus status;
  status.m_host = m_shared.m_identity.m_host;
  status.m_incarnation = m_shared.m_identity.m_incarnation;
  status.m_generation = m_shared.m_configuration.Current()->m_generation;
  m_gate.With([&](const GateFlow& aFlow) {
    status.m_server = aFlow.Server();
    status.m_running = aFlow.GateState().Running();
    status.m_waiting = aFlow.GateState().Waiting();
    status.m_level = aFlow.GateState().Level();
  });
  for (const auto& entry : m_entries) {
    status.m_entryCalls +=
      entry->With([](const EntryFlow& aFlow) { return aFlow.Size(); });
  }
  status.m_hosts = m_shared.m_routers.Sizes();
  status.m_ownedPartitions = m_shared.m_owners.OwnedPartitions();
  status.m_knownNodes = m_directory.With(
    [](const DirectoryFlow& aFlow) { return aFlow.View().Size(); });
  return status;
}

std::optional<NodeRow>
NodeDecisions::FindNode(const HostName& aHost) const
{
  return m_directory.With(
    [&](const DirectoryFlow& aFlow) -> std::optional<NodeRow> {
      const NodeRow* row = aFlow.View().Find(aHost);
      return row == nullptr ? std::nullopt : std::optional<NodeRow>(*row);
    });
}

void
NodeDecisions::Do(const CustomerCall& aEvent, Moment aMoment, Actions& aActions)
{
  FlowOutput output;
  m_entries.at(ShardOf(static_cast<std::uint64_t>(aEvent.m_call)))
    ->With([&](EntryFlow& aFlow) { aFlow.Start(aEvent, aMoment, output); });
  Settle(std::move(output), aMoment, aActions);
}

void
NodeDecisions::Do(const ChildCall& aEvent, Moment aMoment, Actions& aActions)
{
  const auto inheritance = m_gate.With([&](GateFlow& aFlow) {
    return aFlow.Inherit(aEvent.m_parent, aEvent.m_operation, aMoment);
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
    ->With([&](EntryFlow& aFlow) {
      aFlow.Start(aEvent, *inheritance, aMoment, output);
    });
  Settle(std::move(output), aMoment, aActions);
}

void
NodeDecisions::Do(const CallerGone& aEvent, Moment aMoment, Actions& aActions)
{
  FlowOutput output;
  m_entries.at(ShardOf(static_cast<std::uint64_t>(aEvent.m_call)))
    ->With([&](EntryFlow& aFlow) { aFlow.Handle(aEvent, aMoment, output); });
  m_gate.With([&](GateFlow& aFlow) { aFlow.Handle(aEvent, aMoment, output); });
  Settle(std::move(output), aMoment, aActions);
}

void
NodeDecisions::Do(const ServerAnnounced& aEvent,
                  Moment aMoment,
                  Actions& aActions)
{
  DoAtGate(aEvent, aMoment, aActions);
  ShareServerState(aMoment, aActions);
}

void
NodeDecisions::Do(const RumourArrived& aEvent,
                  Moment aMoment,
                  Actions& aActions)
{
  m_shared.m_suspects.With([&](SuspectTable& aTable) {
    aTable.Merge(aEvent.m_rumour.m_suspects, aMoment.m_now);
  });
  m_directory.With(
    [&](DirectoryFlow& aFlow) { aFlow.Handle(aEvent, aMoment, aActions); });
  NoticeGeneration(aEvent.m_rumour.m_generation,
                   aEvent.m_rumour.m_sender.m_peer,
                   aMoment,
                   aActions);
}

void
NodeDecisions::Do(const RumourAnswered& aEvent,
                  Moment aMoment,
                  Actions& aActions)
{
  if (aEvent.m_rumour) {
    m_shared.m_suspects.With([&](SuspectTable& aTable) {
      aTable.Merge(aEvent.m_rumour->m_suspects, aMoment.m_now);
    });
  }
  m_directory.With(
    [&](DirectoryFlow& aFlow) { aFlow.Handle(aEvent, aMoment, aActions); });
  if (aEvent.m_rumour) {
    NoticeGeneration(aEvent.m_rumour->m_generation,
                     aEvent.m_rumour->m_sender.m_peer,
                     aMoment,
                     aActions);
  }
}

void
NodeDecisions::Do(const ObjectAsked& aEvent, Moment aMoment, Actions& aActions)
{
  m_configurationFlow.With(
    [&](ConfigurationFlow& aFlow) { aFlow.Handle(aEvent, aMoment, aActions); });
}

void
NodeDecisions::Do(const ObjectAnswered& aEvent,
                  Moment aMoment,
                  Actions& aActions)
{
  m_configurationFlow.With(
    [&](ConfigurationFlow& aFlow) { aFlow.Handle(aEvent, aMoment, aActions); });
  TellChanges(aMoment, aActions);
}

void
NodeDecisions::Do(const StoreAnswered& aEvent,
                  Moment aMoment,
                  Actions& aActions)
{
  switch (aEvent.m_call.m_client) {
    case StoreClient::Directory:
      m_directory.With(
        [&](DirectoryFlow& aFlow) { aFlow.Handle(aEvent, aMoment, aActions); });
      return;
    case StoreClient::Configuration:
      m_configurationFlow.With([&](ConfigurationFlow& aFlow) {
        aFlow.Handle(aEvent, aMoment, aActions);
      });
      TellChanges(aMoment, aActions);
      return;
    case StoreClient::Ownership:
      DoOwnership(aEvent, aMoment, aActions);
      return;
  }
}

void
NodeDecisions::Do(const TimerDue& /*aEvent*/, Moment aMoment, Actions& aActions)
{
  FlowOutput output;
  m_gate.With([&](GateFlow& aFlow) { aFlow.Advance(aMoment, output); });
  for (const auto& entry : m_entries) {
    entry->With([&](EntryFlow& aFlow) { aFlow.Advance(aMoment, output); });
  }
  Settle(std::move(output), aMoment, aActions);
  ShareServerState(aMoment, aActions);
  const std::size_t nodes = m_directory.With(
    [](const DirectoryFlow& aFlow) { return aFlow.View().Size(); });
  m_configurationFlow.With([&](ConfigurationFlow& aFlow) {
    aFlow.SetFleetSize(nodes);
    aFlow.Advance(aMoment, aActions);
  });
  AdvanceOwnership(aMoment, aActions);
}

void
NodeDecisions::Do(const ShutdownAsked& aEvent,
                  Moment aMoment,
                  Actions& aActions)
{
  DoAtGate(aEvent, aMoment, aActions);
  ShareServerState(aMoment, aActions);
}

void
NodeDecisions::DoOwnership(const StoreAnswered& aEvent,
                           Moment aMoment,
                           Actions& aActions)
{
  const auto service = m_ownership.With([&](OwnershipFlow& aFlow) {
    return aFlow.Handle(aEvent, aMoment, aActions);
  });
  if (!service) {
    return;
  }
  for (const auto& entry : m_entries) {
    FlowOutput output;
    entry->With(
      [&](EntryFlow& aFlow) { aFlow.Resume(*service, aMoment, output); });
    Settle(std::move(output), aMoment, aActions);
  }
}

template<typename AttemptEvent>
void
NodeDecisions::DoAtEntry(const AttemptEvent& aEvent,
                         Moment aMoment,
                         Actions& aActions)
{
  FlowOutput output;
  m_entries.at(ShardOf(aEvent.m_attempt.m_low))->With([&](EntryFlow& aFlow) {
    aFlow.Handle(aEvent, aMoment, output);
  });
  Settle(std::move(output), aMoment, aActions);
}

template<typename GateEvent>
void
NodeDecisions::DoAtGate(const GateEvent& aEvent,
                        Moment aMoment,
                        Actions& aActions)
{
  FlowOutput output;
  m_gate.With([&](GateFlow& aFlow) { aFlow.Handle(aEvent, aMoment, output); });
  Settle(std::move(output), aMoment, aActions);
}

void
NodeDecisions::Settle(FlowOutput&& aOutput, Moment aMoment, Actions& aActions)
{
  if (!aOutput.m_ended.empty()) {
    m_gate.With([&](GateFlow& aFlow) {
      for (const ChildEnded& ended : aOutput.m_ended) {
        aFlow.TakeBack(ended, aMoment);
      }
    });
  }
  std::move(aOutput.m_actions.begin(),
            aOutput.m_actions.end(),
            std::back_inserter(aActions));
}

/* A call or a rumour named a generation that is in force elsewhere. */
void
NodeDecisions::NoticeGeneration(Generation aGeneration,
                                const std::optional<Endpoint>& aPeer,
                                Moment aMoment,
                                Actions& aActions)
{
  if (aGeneration <= m_shared.m_configuration.Current()->m_generation) {
    return;
  }
  m_configurationFlow.With([&](ConfigurationFlow& aFlow) {
    aFlow.Notice(aGeneration, aPeer, aMoment, aActions);
  });
}

void
NodeDecisions::TellChanges(Moment aMoment, Actions& aActions)
{
  m_directory.With([&](DirectoryFlow& aFlow) {
    aFlow.TellChanges(aMoment);
    aFlow.TellSuspects(aMoment);
    aFlow.Advance(aMoment, aActions);
  });
}

void
NodeDecisions::ShareServerState(Moment aMoment, Actions& aActions)
{
  const ServerView server =
    m_gate.With([](const GateFlow& aFlow) { return aFlow.Server(); });
  m_directory.With([&](DirectoryFlow& aFlow) {
    aFlow.SetServer(server.m_service, server.m_state, aMoment);
    aFlow.Advance(aMoment, aActions);
  });
  m_ownership.With([&](OwnershipFlow& aFlow) {
    aFlow.SetServer(server.m_service, server.m_state, aMoment);
  });
}

void
NodeDecisions::AdvanceOwnership(Moment aMoment, Actions& aActions)
{
  const auto service = m_ownership.With([&](const OwnershipFlow& aFlow) {
    return aFlow.NextDue() <= aMoment.m_now ? std::optional(aFlow.Service())
                                            : std::nullopt;
  });
  if (!service) {
    return;
  }
  std::vector<Owner> ready;
  m_directory.With([&](const DirectoryFlow& aFlow) {
    for (const HostName& host : aFlow.View().Hosts()) {
      const NodeRow* row = aFlow.View().Find(host);
      if (row != nullptr && row->m_service == *service &&
          row->m_state == ServerState::Ready) {
        ready.push_back({ row->m_host, row->m_incarnation, row->m_peer });
      }
    }
  });
  m_ownership.With([&](OwnershipFlow& aFlow) {
    aFlow.SetReady(std::move(ready));
    aFlow.Advance(aMoment, aActions);
  });
}

}
