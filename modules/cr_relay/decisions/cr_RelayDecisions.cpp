#include "cr_relay/decisions/cr_RelayDecisions.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace cr {

namespace {

/* Satisfied if the flow has a Handle() overload for the event. */
template<typename Flow, typename Event>
concept HandlesEvent = requires(Flow& aFlow,
                                const Event& aEvent,
                                Instant aNow,
                                RelayActions& aActions)
{
  aFlow.Handle(aEvent, aNow, aActions);
};

}

RelayDecisions::RelayDecisions(RelaySettings aSettings)
  : m_shared(std::move(aSettings))
  , m_entry(m_shared)
  , m_gate(m_shared)
  , m_control(m_shared)
{
}

void
RelayDecisions::Handle(const RelayEvent& aEvent,
                       Instant aNow,
                       RelayActions& aActions)
{
  RelayActions actions;
  std::visit([&](const auto& aTyped) { HandleEvent(aTyped, aNow, actions); },
             aEvent);
  m_control.SetServer(m_gate.Server(), m_gate.Departure());
  m_gate.Advance(aNow, actions);
  m_control.Advance(aNow, actions);
  ProcessLocalActions(std::move(actions), aNow, aActions);
}

void
RelayDecisions::OnPeerGeneration(Generation aGeneration,
                                 const Endpoint& aPeer,
                                 Instant aNow,
                                 RelayActions& aActions)
{
  m_control.OnPeerGeneration(aGeneration, aPeer, aNow, aActions);
}

Instant
RelayDecisions::NextWakeup() const
{
  return std::min(m_gate.NextWakeup().value_or(Instant::max()),
                  m_control.NextWakeup().value_or(Instant::max()));
}

RelayStatus
RelayDecisions::Status(Instant aNow) const
{
  return { m_shared.m_routes.ActiveGeneration(),
           m_shared.m_directory.Size(),
           m_gate.Server(),
           m_entry.Size(),
           m_gate.Queue().Running(),
           m_gate.Queue().Waiting(),
           m_gate.Queue().Limit(),
           m_gate.Load(aNow),
           m_control.IsPlatformReachable(),
           IsReady() };
}

std::vector<Suspect>
RelayDecisions::Suspects(Instant aNow) const
{
  return m_control.Suspects(aNow);
}

bool
RelayDecisions::IsReady() const
{
  return m_control.IsLoaded() && !m_shared.m_isLeaving;
}

//==============================================================================
/* Passes the event to the only flow that handles it. The overloads below cover
   the events that several flows handle, or none. */
template<typename Event>
void
RelayDecisions::HandleEvent(const Event& aEvent,
                            Instant aNow,
                            RelayActions& aActions)
{
  if constexpr (HandlesEvent<RelayEntryFlow, Event>) {
    m_entry.Handle(aEvent, aNow, aActions);
  } else if constexpr (HandlesEvent<RelayGateFlow, Event>) {
    m_gate.Handle(aEvent, aNow, aActions);
  } else {
    m_control.Handle(aEvent, aNow, aActions);
  }
}

void
RelayDecisions::HandleEvent(const RelayCallerDisconnected& aEvent,
                            Instant aNow,
                            RelayActions& aActions)
{
  if (m_entry.Has(aEvent.m_call)) {
    m_entry.Handle(aEvent, aNow, aActions);
  } else {
    m_gate.Handle(aEvent, aNow, aActions);
  }
}

void
RelayDecisions::HandleEvent(const BackendAnnounced& aEvent,
                            Instant aNow,
                            RelayActions& aActions)
{
  m_gate.Handle(aEvent, aNow, aActions);
  const ServerAnnouncement& announcement = aEvent.m_announcement;
  if (announcement.m_isLeaving) {
    AnswerLeave(aEvent.m_call,
                { announcement.m_id, announcement.m_startTime },
                aNow,
                aActions);
  } else {
    aActions.emplace_back(AnswerServer{ aEvent.m_call });
  }
}

void
RelayDecisions::HandleEvent(const BackendLeft& aEvent,
                            Instant aNow,
                            RelayActions& aActions)
{
  m_gate.Handle(aEvent, aNow, aActions);
  AnswerLeave(aEvent.m_call, { aEvent.m_id, aEvent.m_born }, aNow, aActions);
}

void
RelayDecisions::AnswerLeave(CallId aCall,
                            const ServerStart& aStart,
                            Instant aNow,
                            RelayActions& aActions)
{
  if (aStart.m_startTime && m_gate.IsUnconfirmed(aStart)) {
    aActions.emplace_back(AnswerServer{ aCall, false });
    aActions.emplace_back(LogDecision{
      "leave-ignored",
      std::nullopt,
      fmt::format("\"server\":\"{}\",\"start\":{},\"known\":\"{}\"",
                  aStart.m_id,
                  *aStart.m_startTime,
                  m_gate.Server().m_id) });
  } else {
    m_control.AnswerWhenStored(aCall, aNow);
  }
}

void
RelayDecisions::HandleEvent(const RelayStoreAnswered& aEvent,
                            Instant aNow,
                            RelayActions& aActions)
{
  m_control.Handle(aEvent, aNow, aActions);
  if (m_control.HasReadNodes()) {
    m_gate.OnNodesRead(aNow, aActions);
  }
  m_entry.OnFleetChanged();
}

/* Handle() advances the gate and the control flow after every event. */
void
RelayDecisions::HandleEvent(const RelayTimerDue& /*aEvent*/,
                            Instant /*aNow*/,
                            RelayActions& /*aActions*/)
{
}

void
RelayDecisions::HandleEvent(const RelayShutdownRequested& /*aEvent*/,
                            Instant aNow,
                            RelayActions& aActions)
{
  m_shared.m_isLeaving = true;
  m_gate.Close(aNow, aActions);
}

void
RelayDecisions::ProcessLocalActions(RelayActions&& aPending,
                                    Instant aNow,
                                    RelayActions& aActions)
{
  for (RelayAction& action : aPending) {
    RelayActions followUps;
    if (auto* forward = std::get_if<ForwardRequest>(&action);
        forward != nullptr && forward->m_peer == m_shared.m_settings.m_peer) {
      m_localCalls.insert(forward->m_call);
      m_gate.Handle(PeerRequestArrived{ forward->m_call,
                                        std::move(forward->m_header),
                                        m_shared.m_settings.m_service },
                    aNow,
                    followUps);
    } else if (auto* cancel = std::get_if<CancelForward>(&action);
               cancel != nullptr && m_localCalls.erase(cancel->m_call) > 0) {
      m_gate.Handle(RelayCallerDisconnected{ cancel->m_call }, aNow, followUps);
    } else if (auto* answer = std::get_if<AnswerPeer>(&action);
               answer != nullptr && m_localCalls.erase(answer->m_call) > 0) {
      m_entry.Handle(
        ForwardAnswered{ answer->m_call, answer->m_report }, aNow, followUps);
    } else {
      aActions.push_back(std::move(action));
      continue;
    }
    ProcessLocalActions(std::move(followUps), aNow, aActions);
  }
}

}
