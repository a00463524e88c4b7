#pragma once

#include <string>
#include <unordered_map>

#include "cr_relay/event/cr_RelayAction.h"
#include "cr_relay/flow/cr_RelayShared.h"

namespace cr {

/** The gate of a relaying node: all work of the host's backend server passes
    it, so nothing that this node knows of the server needs anybody's consent.

    Every request that arrives ends with exactly one AnswerPeer, unless its
    sender leaves first. "Not run" is said only of requests that were not handed
    over, or of which the server itself says so. Not thread safe. */
class RelayGate
{
public:
  /** The shared state must outlive the flow. */
  explicit RelayGate(RelayShared& aShared);

  //==========================================================================
  /** A request arrived from a node, this one included. */
  void Handle(const PeerRequestArrived& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** The node that sent a request is not interested any more. */
  void Handle(const SenderGone& aEvent, Instant aNow, RelayActions& aActions);

  /** A request that was handed over ended. */
  void Handle(const HandOverEnded& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** The backend server announced itself. After the call the gate is open or
      closed as the announcement says. */
  void Handle(const BackendAnnounced& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** The backend server says that it has left. */
  void Handle(const BackendLeft& aEvent, Instant aNow, RelayActions& aActions);

  /** The backend server answered a question for its health, or did not. */
  void Handle(const HealthAnswered& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** Closes the gate for good; running requests go on. */
  void Close(Instant aNow, RelayActions& aActions);

  /** Does what is due. */
  void Advance(Instant aNow, RelayActions& aActions);

  //==========================================================================
  /** Returns what is known of the backend server. */
  const AnnouncedServer& Server() const { return m_announcements.Server(); }

  /** Returns the queue, for reports. */
  const SlotQueue& Queue() const { return m_queue; }

  /** Returns the load of the gate; 0 when it is closed. @see OfferedLoad */
  double Load(Instant aNow) const;

  /** Returns the number of requests that wait or run. */
  std::size_t Size() const { return m_calls.size(); }

  /** Returns the time at which Advance() has something to do. */
  std::optional<Instant> NextDue() const;

private:
  struct Call
  {
    RelayHeader m_header;
    Instant m_deadline;
    Instant m_handedOver = Instant::min();
    bool m_isSenderGone = false;
  };

  bool IsOpen() const;
  void Carry(GateDecisions& aDecisions, Instant aNow, RelayActions& aActions);
  void HandOver(CallId aCall, Instant aNow, RelayActions& aActions);
  void Answer(CallId aCall,
              RelayReport aReport,
              Instant aNow,
              RelayActions& aActions);
  void NoteServer(AnnouncementResult aVerdict,
                  std::string_view aCause,
                  Instant aNow,
                  RelayActions& aActions);
  void NoteUnreachable(ServerVerdict aVerdict,
                       Instant aNow,
                       RelayActions& aActions);
  std::uint32_t Limit() const;

  RelayShared& m_shared;
  ServerAnnouncements m_announcements;
  SlotQueue m_queue;
  OfferedLoad m_load;
  RouteOrigins m_origins;
  std::unordered_map<CallId, Call> m_calls;
  /* Hand-overs in a row that found nobody. */
  int m_unreachable = 0;
  bool m_isAsking = false;
  Instant m_nextAsk = Instant::min();
};

}
