#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "cr_relay/event/cr_RelayAction.h"
#include "cr_relay/flow/cr_RelayShared.h"

namespace cr {

/** Keeps a relaying node's view of the fleet and of the routes up to date, and
    writes the node's own row, by means of the platform's tables. Routes are
    also fetched from other nodes.

    If the platform is slow, unavailable, or refuses this node only, the last
    view stays active, and the routes are fetched from any node that reports a
    newer generation. Besides, each node asks a random one for newer routes at
    intervals, as requests may go to the own data centre only (anti-entropy:
    Demers et al., 1987). A node that has started asks another one for its
    routes before it uses any, because the platform may have come back from a
    copy that is older than what the fleet uses. With these requests nodes also
    exchange the suspects that they know. Not thread safe. */
class RelayControlFlow
{
public:
  /** The shared state must outlive the flow. */
  explicit RelayControlFlow(RelayShared& aShared);

  //==========================================================================
  /** Handles an answer of the platform. */
  void Handle(const RelayStoreAnswered& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** Activates the configuration if it is newer than the active one. */
  void Handle(const RoutesOffered& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** Handles the end of a route fetch from another node. */
  void Handle(const PeerRoutesFetched& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** Merges the suspects that another node reports. */
  void Handle(const SuspectsReported& aEvent,
              Instant aNow,
              RelayActions& aActions);

  /** Called when another node reports its active generation. */
  void OnPeerGeneration(Generation aGeneration,
                        const Endpoint& aPeer,
                        Instant aNow,
                        RelayActions& aActions);

  /** Sets the state of the host's backend server that the node's own row
      publishes, and the start that is leaving, if any. */
  void SetServer(const AnnouncedServer& aServer,
                 const std::optional<ServerStart>& aDeparture);

  /** Answers a message in which the backend server says that it leaves. It is
      acknowledged once the platform has stored the own row in its present
      state: a process that starts after this one learns the departure from the
      row. If that takes too long, the message is not acknowledged. */
  void AnswerWhenStored(CallId aCall, Instant aNow);

  /** Sends the requests to the platform that are due. */
  void Advance(Instant aNow, RelayActions& aActions);

  //==========================================================================
  /** Returns the time at which Advance() must be called next. */
  std::optional<Instant> NextWakeup() const;

  /** Returns the suspects to be reported to another node. */
  std::vector<Suspect> Suspects(Instant aNow) const;

  /** Returns whether the fleet and the routes are loaded. */
  bool IsLoaded() const;

  /** Returns whether the table of the nodes has been read, and with it the row
      that a former process of this node has written. */
  bool HasReadNodes() const { return m_nodes.IsLoaded(); }

  /** Returns whether the platform answered the latest requests. */
  bool IsPlatformReachable() const;

private:
  /* Part of the flow that sent a request to the platform. */
  enum class Client : std::uint8_t
  {
    Nodes,
    Routes,
    OwnRow,
    UnreachableRow
  };
  static constexpr std::size_t kClientCount = 4;

  /* A message of the backend server that waits for its answer. */
  struct PendingLeave
  {
    CallId m_call{};
    Instant m_arrived;
  };

  void Call(Client aClient, StoreRequest aRequest, RelayActions& aActions);
  void ApplyNodeChanges(const TableChanges& aTableChanges,
                        Instant aNow,
                        RelayActions& aActions);
  void ApplyRouteChanges(const TableChanges& aTableChanges);
  void HandleOwnRowAnswer(const StoreAnswer& aAnswer, Instant aNow);
  void WriteOwnRow(Instant aNow, RelayActions& aActions);
  void RemoveUnreachableRow(Instant aNow, RelayActions& aActions);
  void OnStoreEra(StoreEra aEra, Instant aNow, RelayActions& aActions);
  void OnStoreRestored(Instant aNow);
  void RepeatUnansweredCalls(const StoreAnswer& aAnswer, Instant aNow);
  void AskFirstPeerForRoutes(Instant aNow, RelayActions& aActions);
  void AskRandomPeerForRoutes(Instant aNow, RelayActions& aActions);
  void FetchRoutesFrom(const Endpoint& aPeer,
                       Instant aNow,
                       RelayActions& aActions);
  std::vector<Endpoint> FirstPeers() const;
  std::vector<Endpoint> ReadyPeers() const;
  void DropLostRows(Instant aNow, RelayActions& aActions);
  void LogPlatformReachability(RelayActions& aActions);
  bool CanRemoveRows() const;
  bool IsOwnRowCurrent() const;
  bool IsOwnRowStored() const;
  void AnswerLeaves(Instant aNow, RelayActions& aActions);
  Instant RemovalTime(const HostName& aHost, Instant aUnreachableSince) const;

  RelayShared& m_shared;
  TableFollower m_nodes;
  TableFollower m_routes;
  std::uint64_t m_calls = 0;
  /* Identifier of each client's pending call; 0 if there is none whose answer
     counts. */
  std::array<std::uint64_t, kClientCount> m_pendingCalls{};
  std::optional<StoreEra> m_era;
  /* The platform last failed to answer a call. */
  Instant m_lastStoreFailure = Instant::min();
  /* Until then, rows that the platform has lost stay in use. */
  Instant m_keepLostRowsUntil = Instant::min();

  NodeRow m_ownRow;
  StoreBackoff m_rowPace;
  bool m_isWritingRow = false;
  bool m_isRemovingRow = false;
  /* Version that the platform returned with a failed condition; may be newer
     than that of the cached row. */
  RowVersion m_ownVersion = 0;
  /* m_ownRow was written in its present state, but the cached table need not
     show it yet. */
  bool m_isRowWritten = false;
  Instant m_rowWritten = Instant::min();
  std::vector<PendingLeave> m_pendingLeaves;

  bool m_isFetchingPeerRoutes = false;
  /* Another node has been asked since the start, or there is none to ask. */
  bool m_hasAskedPeer = false;
  std::size_t m_peerAttempts = 0;
  /* Platform's routing document that waits until another node was asked. */
  std::optional<std::string> m_heldRoutes;
  Instant m_nextPeerFetch = Instant::min();
  Random m_random;
  Instant m_nextRandomFetch = Instant::min();
  bool m_wasPlatformReachable = false;
};

}
