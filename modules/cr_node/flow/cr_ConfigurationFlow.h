#pragma once

#include <map>
#include <optional>
#include <string>

#include "cr_node/event/cr_Action.h"
#include "cr_node/event/cr_NodeIdentity.h"
#include "cr_node/shared/cr_NodeShared.h"

namespace cr {

/** Watches the configuration's head row, fetches a newer configuration and puts
    it into force.

    Not thread safe. */
class ConfigurationFlow
{
public:
  /** The shared state must outlive the flow. */
  explicit ConfigurationFlow(NodeShared& aShared);

  //==========================================================================
  /** Does what is due. */
  void Advance(Moment aMoment, Actions& aActions);

  /** The platform answered. */
  void Handle(const StoreAnswered& aEvent, Moment aMoment, Actions& aActions);

  //==========================================================================
  /** Returns the time at which Advance() has something to do. */
  Instant NextDue() const { return m_nextDue; }

private:
  /* What is being fetched: first the head, then the manifest, then the service
     files that are not known yet. */
  struct Fetch
  {
    ConfigurationHead m_head;
    std::optional<Manifest> m_manifest;
    std::string m_object;
  };

  void TakeHead(const RowFound& aAnswer, Actions& aActions);
  void TakeObject(const ObjectFound& aAnswer, Actions& aActions);
  void FetchNext(Actions& aActions);
  void Adopt(Actions& aActions);
  void Ask(StoreRequest aRequest, Actions& aActions);

  NodeShared& m_shared;
  Instant m_nextDue;
  std::uint64_t m_sequence = 0;
  std::optional<Fetch> m_fetch;
  std::map<std::string, std::string> m_objects;
};

}
