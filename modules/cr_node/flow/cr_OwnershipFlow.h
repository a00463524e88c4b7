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

/** Refreshes the cached ownership maps, and updates the map of the node's own
    service through conditional transactions.

    A write is never retried blindly: after each one, answered or not, the row
    is read back and a new plan is computed from it. Reads and writes have
    jitter, and back off while the store fails. Not thread safe. */
class OwnershipFlow
{
public:
  /** The shared state must outlive the flow. */
  explicit OwnershipFlow(NodeShared& aShared);

  //==========================================================================
  /** Updates the state of the host's backend server. */
  void SetServer(const std::string& aService,
                 ServerState aState,
                 Moment aMoment);

  /** Sets the known nodes of the own service whose servers accept new work. */
  void SetReady(std::vector<Owner> aReady);

  /** Reads the rows that are due. */
  void Advance(Moment aMoment, Actions& aActions);

  /** Handles the platform's answer. Returns the service whose map was read or
      could not be read, so that the calls that wait for it can resume. */
  std::optional<std::string> Handle(const StoreAnswered& aEvent,
                                    Moment aMoment,
                                    Actions& aActions);

  //==========================================================================
  /** Returns the service of the host's backend server; empty when unknown. */
  const std::string& Service() const { return m_service; }

  /** Returns the time at which Advance() must be called next. */
  Instant NextWakeup() const;

private:
  /* State of the row of one service. At most one request for it is open. */
  struct Watch
  {
    Instant m_nextRead;
    Instant m_lastRead;
    std::uint64_t m_openRequest = 0;
    std::uint32_t m_failures = 0;
    bool m_isKnown = false;
  };

  void AddWatches(Moment aMoment);
  void Read(const std::string& aService,
            Watch& aWatch,
            Moment aMoment,
            Actions& aActions);
  void HandleRow(const std::string& aService,
                 const RowFound& aAnswer,
                 Moment aMoment,
                 Actions& aActions);
  void PlanOwnMap(const std::optional<Row>& aRow,
                  const OwnershipMap& aMap,
                  Moment aMoment,
                  Actions& aActions);
  OwnershipPlanInput PlanInput(Moment aMoment) const;
  void Commit(const std::optional<Row>& aRow,
              const OwnershipPlan& aPlan,
              Moment aMoment,
              Actions& aActions);
  Duration Jitter(Duration aDuration);

  NodeShared& m_shared;
  Random m_random;
  OwnershipTiming m_timing;
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
