#pragma once

#include <set>

#include "cr_relay/flow/cr_RelayControl.h"
#include "cr_relay/flow/cr_RelayEntry.h"
#include "cr_relay/flow/cr_RelayGate.h"

namespace cr {

/** What a relaying node says of itself. */
struct RelayStatus
{
  Generation m_generation = 0;
  std::size_t m_nodes = 0;
  AnnouncedServer m_server;
  std::size_t m_entryCalls = 0;
  std::size_t m_running = 0;
  std::size_t m_waiting = 0;
  std::uint32_t m_limit = 0;
  double m_gateLoad = 0;
  bool m_isInTouch = false;
  bool m_isReady = false;
};

/** All decisions of a node that relays requests. The same events at the same
    times give the same actions. Not thread safe. */
class RelayDecisions
{
public:
  explicit RelayDecisions(RelaySettings aSettings);
  RelayDecisions(const RelayDecisions&) = delete;
  RelayDecisions& operator=(const RelayDecisions&) = delete;

  //==========================================================================
  /** Handles one event and adds the actions that follow from it. */
  void Handle(const RelayEvent& aEvent, Instant aNow, RelayActions& aActions);

  /** Another node said which generation it has in force. */
  void NoteGeneration(Generation aGeneration,
                      const Endpoint& aPeer,
                      Instant aNow,
                      RelayActions& aActions);

  //==========================================================================
  /** Returns the time at which a RelayTimerDue event is wanted. */
  Instant NextWakeup() const;

  /** Returns a report for operators. */
  RelayStatus Status(Instant aNow) const;

  /** Returns whether customers should send requests here. */
  bool IsReady() const;

  /** Returns the routes in force. */
  const RouteTablePointer& Routes() const
  {
    return m_shared.m_routes.Current();
  }

private:
  template<typename Event>
  void Do(const Event& aEvent, Instant aNow, RelayActions& aActions);
  void Do(const SenderGone& aEvent, Instant aNow, RelayActions& aActions);
  void Do(const RelayStoreAnswered& aEvent,
          Instant aNow,
          RelayActions& aActions);
  void Do(const RelayTimerDue& aEvent, Instant aNow, RelayActions& aActions);
  void Do(const RelayShutdownAsked& aEvent,
          Instant aNow,
          RelayActions& aActions);

  /* Carries out the actions that the node owes itself: requests whose chosen
     host is its own go to its own gate and back. */
  void SettleOwn(RelayActions&& aFrom, Instant aNow, RelayActions& aActions);

  RelayShared m_shared;
  RelayEntry m_entry;
  RelayGate m_gate;
  RelayControl m_control;
  /* Requests of this node's entry that are at its own gate. */
  std::set<CallId> m_own;
};

}
