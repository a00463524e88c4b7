#pragma once

#include <set>
#include <string>

#include "cr_membership/cr_membership.h"
#include "cr_node/event/cr_Action.h"
#include "cr_node/event/cr_NodeIdentity.h"
#include "cr_node/shared/cr_NodeShared.h"

namespace cr {

/** Membership of the node: renews its row in the table, collects the rows of
    other nodes from the table and from gossip, spreads changes, and updates the
    routers' targets.

    In steady state it writes its row and reads one page of the table about
    every 15 s, and sends a gossip message to one random node about every 2 s.
    A change is sent to several random nodes at once, each of which forwards
    it. When the digests of two nodes differ while no changes are in transit,
    the nodes exchange the rows of the buckets that differ.

    Not thread safe. */
class DirectoryFlow
{
public:
  /** The shared state must outlive the flow. */
  explicit DirectoryFlow(NodeShared& aShared);

  //==========================================================================
  /** Updates the state of the host's backend server; a change is written and
      sent at the next Advance(). */
  void SetServer(const std::string& aService,
                 ServerState aState,
                 Moment aMoment);

  /** Schedules gossip about a newer active configuration or new suspects, which
      Advance() sends. */
  void GossipChanges(Moment aMoment);

  /** Schedules gossip about new suspects to the hosts of the own service, at
      most every kUrgentInterval. It is urgent because a resend may reach them
      at once. */
  void GossipSuspects(Moment aMoment);

  /** Performs the work that is due. */
  void Advance(Moment aMoment, Actions& aActions);

  /** Handles the platform's answer. */
  void Handle(const StoreAnswered& aEvent, Moment aMoment, Actions& aActions);

  /** Merges another node's gossip message and answers it with a message of this
      node. */
  void Handle(const GossipReceived& aEvent, Moment aMoment, Actions& aActions);

  /** Handles the answer to a gossip message, or its absence. */
  void Handle(const GossipAnswered& aEvent, Moment aMoment, Actions& aActions);

  //==========================================================================
  /** Returns the view of all known nodes. */
  const MembershipView& View() const { return m_view; }

  /** Returns the time at which Advance() must be called next. */
  Instant NextWakeup() const;

private:
  void WriteOwnRow(Moment aMoment, Actions& aActions);
  void ReadPage(Actions& aActions);
  void HandlePage(const RowPage& aPage, Moment aMoment, Actions& aActions);
  void EndScan(Moment aMoment);
  void MergeMessage(const GossipMessage& aMessage,
                    RowSource aSource,
                    Moment aMoment);
  void AddAnswerRows(const GossipMessage& aRequest, GossipMessage& aAnswer);
  void RequestDifferingBuckets(const GossipMessage& aAnswer,
                               Moment aMoment,
                               Actions& aActions);
  void SendUrgentSuspects(Moment aMoment, Actions& aActions);
  void SendChanges(std::size_t aPeers, Moment aMoment, Actions& aActions);
  void SendTo(const Endpoint& aPeer, GossipMessage aMessage, Actions& aActions);
  void RequestFullCopy(const Endpoint& aPeer,
                       Moment aMoment,
                       Actions& aActions);
  void RequestCopyFromContact(Moment aMoment, Actions& aActions);
  GossipMessage MakeMessage(std::vector<NodeRow> aRows, Moment aMoment) const;
  const NodeRow* RandomPeer();
  void SchedulePush(Moment aMoment);
  void ScheduleRoutes(Moment aMoment);
  void UpdateRouters(Moment aMoment);
  bool HasChanges() const;
  Duration Jitter(Duration aMean);
  StoreCallId NextCall();

  NodeShared& m_shared;
  Random m_random;
  MembershipView m_view;

  Instant m_nextRenewal;
  Instant m_lastWrite;
  StoreCallId m_writeCall;

  Instant m_nextScan;
  std::string m_scanAfter;
  StoreCallId m_pageCall;
  bool m_isReading = false;
  bool m_hasFullCopy = false;
  /** Remaining fast scans of the whole table after the start. */
  unsigned m_fastScansLeft;

  Instant m_nextGossip;
  Instant m_nextPush = Instant::max();
  Instant m_nextRoutesUpdate = Instant::max();
  Instant m_lastRoutesUpdate;
  Instant m_nextFullCopyRequest;
  Instant m_nextRepair;
  Instant m_nextRepairFullCopy;
  Instant m_nextBucketsAnswer;
  std::set<std::uint64_t> m_copyRequests;
  Generation m_gossipedGeneration = 0;
  unsigned m_generationSendsLeft = 0;
  std::uint64_t m_gossipedSuspects = 0;
  std::uint64_t m_urgentSuspects = 0;
  Instant m_nextUrgentSend = Instant::max();
  Instant m_lastUrgentSend = Instant::min();
  unsigned m_suspectSendsLeft = 0;
  bool m_isDuplicateHostLogged = false;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_messageSequence = 0;
};

}
