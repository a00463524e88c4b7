#pragma once

#include <set>

#include "cr_relay/flow/cr_RelayControlFlow.h"
#include "cr_relay/flow/cr_RelayEntryFlow.h"
#include "cr_relay/flow/cr_RelayGateFlow.h"

namespace cr {

/** Status of a relaying node, for operators and metrics. */
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
  bool m_isPlatformReachable = false;
  bool m_isReady = false;
};

/** Decision logic of a node that relays requests. Deterministic: the same
    events at the same times produce the same actions. Not thread safe. */
class RelayDecisions
{
public:
  explicit RelayDecisions(RelaySettings aSettings);
  RelayDecisions(const RelayDecisions&) = delete;
  RelayDecisions& operator=(const RelayDecisions&) = delete;

  //==========================================================================
  /** Handles one event and appends the resulting actions to aActions. */
  void Handle(const RelayEvent& aEvent, Instant aNow, RelayActions& aActions);

  /** Called when another node reports its active generation. Fetches the routes
      from that node if its generation is newer. */
  void OnPeerGeneration(Generation aGeneration,
                        const Endpoint& aPeer,
                        Instant aNow,
                        RelayActions& aActions);

  //==========================================================================
  /** Returns the time at which the next RelayTimerDue event must be fed. */
  Instant NextWakeup() const;

  /** Returns the status at the given time. */
  RelayStatus Status(Instant aNow) const;

  /** Returns the suspects to be reported to a node that asks. */
  std::vector<Suspect> Suspects(Instant aNow) const;

  /** Returns whether this node accepts requests from customers. */
  bool IsReady() const;

  /** Returns the active routes. */
  const RouteTablePointer& Routes() const
  {
    return m_shared.m_routes.Current();
  }

private:
  template<typename Event>
  void HandleEvent(const Event& aEvent, Instant aNow, RelayActions& aActions);
  void HandleEvent(const RelayCallerDisconnected& aEvent,
                   Instant aNow,
                   RelayActions& aActions);
  void HandleEvent(const BackendAnnounced& aEvent,
                   Instant aNow,
                   RelayActions& aActions);
  void HandleEvent(const BackendLeft& aEvent,
                   Instant aNow,
                   RelayActions& aActions);
  void HandleEvent(const RelayStoreAnswered& aEvent,
                   Instant aNow,
                   RelayActions& aActions);
  void HandleEvent(const RelayTimerDue& aEvent,
                   Instant aNow,
                   RelayActions& aActions);
  void HandleEvent(const RelayShutdownRequested& aEvent,
                   Instant aNow,
                   RelayActions& aActions);

  /* Acknowledges that the start of the backend server leaves, unless that was
     ignored. */
  void AnswerLeave(CallId aCall,
                   const ServerStart& aStart,
                   Instant aNow,
                   RelayActions& aActions);

  /* Executes the actions whose target is this node: forwards to its own gate,
     cancellations of those, and the gate's answers. Appends all others to
     aActions. */
  void ProcessLocalActions(RelayActions&& aPending,
                           Instant aNow,
                           RelayActions& aActions);

  RelayShared m_shared;
  RelayEntryFlow m_entry;
  RelayGateFlow m_gate;
  RelayControlFlow m_control;
  /* Requests that this node's entry forwarded to its own gate. */
  std::set<CallId> m_localCalls;
};

}
