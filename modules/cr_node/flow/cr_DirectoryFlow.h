#pragma once

#include <map>
#include <string>

#include "cr_membership/cr_membership.h"
#include "cr_node/event/cr_Action.h"
#include "cr_node/event/cr_NodeIdentity.h"
#include "cr_node/flow/cr_GateFlow.h"
#include "cr_node/shared/cr_NodeShared.h"

namespace cr {

/** Keeps this node's row in the table, reads the rows of the others and tells
    the routers which hosts there are.

    Not thread safe. */
class DirectoryFlow
{
public:
  /** The shared state must outlive the flow. */
  explicit DirectoryFlow(NodeShared& aShared);

  //==========================================================================
  /** Takes in the state of the host's backend server; a change is written to
      the table at the next Advance(). */
  void SetServer(const std::string& aService, ServerState aState);

  /** Does what is due. */
  void Advance(Moment aMoment, Actions& aActions);

  /** The platform answered. */
  void Handle(const StoreAnswered& aEvent, Moment aMoment, Actions& aActions);

  /** Another node told what it knows; it is answered by what this node knows of
      itself. */
  void Handle(const RumourArrived& aEvent, Moment aMoment, Actions& aActions);

  //==========================================================================
  /** Returns the rows known, by host. */
  const std::map<HostName, NodeRow>& Rows() const { return m_rows; }

  /** Returns the time at which Advance() has something to do. */
  Instant NextDue() const { return m_nextDue; }

private:
  void WriteOwnRow(Moment aMoment, Actions& aActions);
  void ReadPage(const std::string& aAfter, Actions& aActions);
  void TakePage(const RowPage& aPage, Moment aMoment, Actions& aActions);
  void UpdateRouters(Moment aMoment);
  StoreCallId NextCall();

  NodeShared& m_shared;
  NodeRow m_own;
  std::map<HostName, NodeRow> m_rows;
  std::map<HostName, NodeRow> m_reading;
  bool m_isReading = false;
  Instant m_nextDue;
  std::uint64_t m_sequence = 0;
  StoreCallId m_pageCall;
};

}
