#pragma once

#include <set>
#include <string>

#include "cr_membership/cr_membership.h"
#include "cr_node/event/cr_Action.h"
#include "cr_node/event/cr_NodeIdentity.h"
#include "cr_node/shared/cr_NodeShared.h"

namespace cr {

/** Keeps this node's row in the table, learns of the other nodes from the table
    and from rumours, spreads changes, and tells the routers which hosts there
    are.

    In steady state it writes its row and reads one page of the table every
    quarter of a minute or so, and sends a rumour to one random node every other
    second. A change is told to several random nodes at once, each of which
   tells it on. When the digests of two nodes differ without changes on the way,
   they exchange the rows of the buckets in which they differ.

    Not thread safe. */
class DirectoryFlow
{
public:
  /** The shared state must outlive the flow. */
  explicit DirectoryFlow(NodeShared& aShared);

  //==========================================================================
  /** Takes in the state of the host's backend server; a change is written and
      told at the next Advance(). */
  void SetServer(const std::string& aService,
                 ServerState aState,
                 Moment aMoment);

  /** Tells a newer configuration in force, or new suspects, at the next
      Advance(). */
  void TellChanges(Moment aMoment);

  /** Tells new suspects to the hosts of the own service soon, at most every
      kUrgentInterval, since a resend may reach them at once. */
  void TellSuspects(Moment aMoment);

  /** Does what is due. */
  void Advance(Moment aMoment, Actions& aActions);

  /** The platform answered. */
  void Handle(const StoreAnswered& aEvent, Moment aMoment, Actions& aActions);

  /** Another node told what it knows; it is answered by what this node knows.
   */
  void Handle(const RumourArrived& aEvent, Moment aMoment, Actions& aActions);

  /** Another node answered a rumour, or did not. */
  void Handle(const RumourAnswered& aEvent, Moment aMoment, Actions& aActions);

  //==========================================================================
  /** Returns what is known of all nodes. */
  const MembershipView& View() const { return m_view; }

  /** Returns the time at which Advance() has something to do. */
  Instant NextDue() const;

private:
  void WriteOwnRow(Moment aMoment, Actions& aActions);
  void ReadPage(Actions& aActions);
  void TakePage(const RowPage& aPage, Moment aMoment, Actions& aActions);
  void EndScan(Moment aMoment);
  void TakeRumour(const Rumour& aRumour, RowSource aSource, Moment aMoment);
  void AddAnswerRows(const Rumour& aAsked, Rumour& aAnswer);
  void Repair(const Rumour& aAnswer, Moment aMoment, Actions& aActions);
  void SendUrgent(Moment aMoment, Actions& aActions);
  void SendNews(std::size_t aPeers, Moment aMoment, Actions& aActions);
  void Send(const Endpoint& aPeer, Rumour aRumour, Actions& aActions);
  void AskForAll(const Endpoint& aPeer, Moment aMoment, Actions& aActions);
  void AskContact(Moment aMoment, Actions& aActions);
  Rumour MakeRumour(std::vector<NodeRow> aRows, Moment aMoment) const;
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

  Instant m_renewDue;
  Instant m_lastWrite;
  StoreCallId m_writeCall;

  Instant m_scanDue;
  std::string m_scanAfter;
  StoreCallId m_pageCall;
  bool m_isReading = false;
  bool m_hasFullCopy = false;
  /** Scans of the whole table that follow the start without a pause. */
  unsigned m_quickScans;

  Instant m_rumourDue;
  Instant m_pushDue = Instant::max();
  Instant m_routesDue = Instant::max();
  Instant m_routesUpdated;
  Instant m_askAllDue;
  Instant m_repairDue;
  Instant m_fullCopyDue;
  Instant m_bucketsDue;
  std::set<std::uint64_t> m_copiesAsked;
  Generation m_toldGeneration = 0;
  unsigned m_generationTellings = 0;
  std::uint64_t m_toldSuspects = 0;
  std::uint64_t m_urgentSuspects = 0;
  Instant m_urgentDue = Instant::max();
  Instant m_urgentSent = Instant::min();
  unsigned m_suspectTellings = 0;
  bool m_rivalLogged = false;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_rumours = 0;
};

}
