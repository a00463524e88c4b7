#pragma once

#include <optional>
#include <string>

#include "cr_relay/event/cr_RelayAction.h"
#include "cr_relay/flow/cr_RelayShared.h"

namespace cr {

/** Keeps a relaying node's picture of the fleet and its routes fresh, and its
    own row true, by the platform's tables; the routes also by other nodes.

    The platform may be slow, down, or refuse this node alone: then the last
    picture holds, and the routes come from any node that says it has newer
    ones. Not thread safe. */
class RelayControl
{
public:
  /** The shared state must outlive the flow. */
  explicit RelayControl(RelayShared& aShared);

  //==========================================================================
  /** The platform answered a call. */
  void Handle(const RelayStoreAnswered& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** A configuration arrived. */
  void Handle(const RoutesOffered& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** Another node was asked for its routes, and has answered or not. */
  void Handle(const PeerRoutesEnded& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** Another node has the generation in force. */
  void NoteGeneration(Generation aGeneration,
                      const Endpoint& aPeer,
                      Instant aNow,
                      RelayActions& aActions);

  /** The state of the host's backend server, as others are to know it. */
  void SetServer(const AnnouncedServer& aServer);

  /** Does what is due. */
  void Advance(Instant aNow, RelayActions& aActions);

  //==========================================================================
  /** Returns the time at which Advance() has something to do. */
  std::optional<Instant> NextDue() const;

  /** Returns whether the fleet and the routes are known. */
  bool IsLoaded() const;

  /** Returns whether the latest calls to the platform were answered. */
  bool IsInTouch() const;

private:
  /* Which part of the flow made a call to the platform. */
  enum class Client : std::uint8_t
  {
    Nodes,
    Routes,
    OwnRow,
    DeadRow
  };

  void Call(Client aClient, StoreRequest aRequest, RelayActions& aActions);
  void TakeNodes(const TableChanges& aNews,
                 Instant aNow,
                 RelayActions& aActions);
  void TakeRoutes(const TableChanges& aNews, RelayActions& aActions);
  void TakeOwnRow(const StoreAnswer& aAnswer, Instant aNow);
  void WriteOwnRow(Instant aNow, RelayActions& aActions);
  void RemoveDeadRow(Instant aNow, RelayActions& aActions);
  void NoteTouch(RelayActions& aActions);
  bool IsOwnRowTrue() const;
  Instant RemovalOf(const HostName& aHost, Instant aUnreachedSince) const;

  RelayShared& m_shared;
  TableFollower m_nodes;
  TableFollower m_routes;
  std::uint64_t m_calls = 0;

  NodeRow m_ownRow;
  StoreBackoff m_rowPace;
  bool m_isWritingRow = false;
  bool m_isRemovingRow = false;
  /* Version that the platform told when a condition failed; it may be newer
     than that of the picture. */
  RowVersion m_ownVersion = 0;
  /* The row was written as it is; the picture will show it. */
  bool m_isRowWritten = false;
  Instant m_rowWritten = Instant::min();

  bool m_isAskingPeer = false;
  Instant m_nextPeerAsk = Instant::min();
  bool m_wasInTouch = false;
};

}
