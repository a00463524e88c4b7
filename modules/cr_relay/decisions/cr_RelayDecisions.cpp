#include "cr_relay/decisions/cr_RelayDecisions.h"

#include <algorithm>
#include <utility>

namespace cr {

namespace {

/* The flow has a function for the event. */
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
  std::visit([&](const auto& aTyped) { Do(aTyped, aNow, actions); }, aEvent);
  m_control.SetServer(m_gate.Server());
  m_gate.Advance(aNow, actions);
  m_control.Advance(aNow, actions);
  SettleOwn(std::move(actions), aNow, aActions);
}

void
RelayDecisions::NoteGeneration(Generation aGeneration,
                               const Endpoint& aPeer,
                               Instant aNow,
                               RelayActions& aActions)
{
  m_control.NoteGeneration(aGeneration, aPeer, aNow, aActions);
}

Instant
RelayDecisions::NextWakeup() const
{
  return std::min(m_gate.NextDue().value_or(Instant::max()),
                  m_control.NextDue().value_or(Instant::max()));
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
           m_control.IsInTouch(),
           IsReady() };
}

bool
RelayDecisions::IsReady() const
{
  return m_control.IsLoaded() && !m_shared.m_isLeaving;
}

//==============================================================================
/* Each event belongs to the one flow that handles it, but for those below. */
template<typename Event>
void
RelayDecisions::Do(const Event& aEvent, Instant aNow, RelayActions& aActions)
{
  if constexpr (HandlesEvent<RelayEntry, Event>) {
    m_entry.Handle(aEvent, aNow, aActions);
  } else if constexpr (HandlesEvent<RelayGate, Event>) {
    m_gate.Handle(aEvent, aNow, aActions);
  } else {
    m_control.Handle(aEvent, aNow, aActions);
  }
}

void
RelayDecisions::Do(const SenderGone& aEvent,
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
RelayDecisions::Do(const RelayStoreAnswered& aEvent,
                   Instant aNow,
                   RelayActions& aActions)
{
  m_control.Handle(aEvent, aNow, aActions);
  m_entry.NoteFleet();
}

/* What is due is done after every event. */
void
RelayDecisions::Do(const RelayTimerDue& /*aEvent*/,
                   Instant /*aNow*/,
                   RelayActions& /*aActions*/)
{
}

void
RelayDecisions::Do(const RelayShutdownAsked& /*aEvent*/,
                   Instant aNow,
                   RelayActions& aActions)
{
  m_shared.m_isLeaving = true;
  m_gate.Close(aNow, aActions);
}

void
RelayDecisions::SettleOwn(RelayActions&& aFrom,
                          Instant aNow,
                          RelayActions& aActions)
{
  for (RelayAction& action : aFrom) {
    RelayActions further;
    if (auto* forward = std::get_if<ForwardRequest>(&action);
        forward != nullptr && forward->m_peer == m_shared.m_settings.m_peer) {
      m_own.insert(forward->m_call);
      m_gate.Handle(PeerRequestArrived{ forward->m_call,
                                        std::move(forward->m_header),
                                        m_shared.m_settings.m_service },
                    aNow,
                    further);
    } else if (auto* cancel = std::get_if<CancelForward>(&action);
               cancel != nullptr && m_own.erase(cancel->m_call) > 0) {
      m_gate.Handle(SenderGone{ cancel->m_call }, aNow, further);
    } else if (auto* answer = std::get_if<AnswerPeer>(&action);
               answer != nullptr && m_own.erase(answer->m_call) > 0) {
      m_entry.Handle(
        ForwardAnswered{ answer->m_call, answer->m_report }, aNow, further);
    } else {
      aActions.push_back(std::move(action));
      continue;
    }
    SettleOwn(std::move(further), aNow, aActions);
  }
}

}
