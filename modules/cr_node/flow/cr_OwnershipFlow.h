#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cr_membership/cr_membership.h"
#include "cr_node/event/cr_Action.h"
#include "cr_node/event/cr_NodeIdentity.h"
#include "cr_node/shared/cr_NodeShared.h"

namespace cr {

/** Keeps the maps of key owners fresh, and this node's part of its own
   service's map, through conditional transactions.

    A write is never repeated blindly: after each one, answered or not, the row
    is read back and planned upon anew. Reads and writes are paced with jitter,
    and back off while the store fails. Not thread safe. */
class OwnershipFlow
{
public:
  /** The shared state must outlive the flow. */
  explicit OwnershipFlow(NodeShared& aShared);

  //==========================================================================
  /** Takes in the state of the host's backend server. */
  void SetServer(const std::string& aService,
                 ServerState aState,
                 Moment aMoment);

  /** Takes in the nodes of the own service whose servers take new work, as far
      as known. */
  void SetReady(std::vector<Owner> aReady);

  /** Does what is due. */
  void Advance(Moment aMoment, Actions& aActions);

  /** The platform answered. Returns the service whose map was read or could not
      be read, for the calls that wait for it. */
  std::optional<std::string> Handle(const StoreAnswered& aEvent,
                                    Moment aMoment,
                                    Actions& aActions);

  //==========================================================================
  /** Returns the service of the host's backend server; empty when unknown. */
  const std::string& Service() const { return m_service; }

  /** Returns the time at which Advance() has something to do. */
  Instant NextDue() const;

private:
  /* The row of one service. At most one request is open for it. */
  struct Watch
  {
    Instant m_nextRead;
    Instant m_lastRead;
    std::uint64_t m_open = 0;
    std::uint32_t m_failures = 0;
    bool m_isKnown = false;
  };

  void AddWatches(Moment aMoment);
  void Read(const std::string& aService,
            Watch& aWatch,
            Moment aMoment,
            Actions& aActions);
  void TakeRow(const std::string& aService,
               const RowFound& aAnswer,
               Moment aMoment,
               Actions& aActions);
  void PlanOwn(const std::optional<Row>& aRow,
               const OwnershipMap& aMap,
               Moment aMoment,
               Actions& aActions);
  OwnershipPlanInput Situation(Moment aMoment) const;
  void Commit(const std::optional<Row>& aRow,
              const OwnershipPlan& aPlan,
              Moment aMoment,
              Actions& aActions);
  Duration Spread(Duration aDuration);

  NodeShared& m_shared;
  Random m_random;
  OwnershipTiming m_times;
  Owner m_self;
  std::string m_service;
  ServerState m_state = ServerState::Absent;
  std::vector<Owner> m_ready;
  Instant m_readySince = Instant::max();
  Generation m_generation = 0;
  std::uint64_t m_sequence = 0;
  std::map<std::string, Watch> m_watches;
};

}
