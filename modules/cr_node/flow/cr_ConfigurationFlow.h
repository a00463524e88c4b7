#pragma once

#include <map>
#include <optional>
#include <string>

#include "cr_node/event/cr_Action.h"
#include "cr_node/event/cr_NodeIdentity.h"
#include "cr_node/shared/cr_NodeShared.h"

namespace cr {

/** Learns of newer configurations, fetches them and puts them into force.

    The head is read from the table now and then, the less often the more nodes
    there are. A rumour that names a newer generation starts a fetch from the
    node that sent it; that node has the generation in force, so the platform is
    not needed. Objects that are known are not fetched again. Nothing but a
    higher generation is ever put into force.

    Not thread safe. */
class ConfigurationFlow
{
public:
  /** The shared state must outlive the flow. */
  explicit ConfigurationFlow(NodeShared& aShared);

  //==========================================================================
  /** Takes in the number of nodes, over which reads of the head are shared. */
  void SetFleetSize(std::size_t aNodes) { m_fleetSize = aNodes; }

  /** Takes in that a generation is in force elsewhere; the peer, if given, has
      it. */
  void Notice(Generation aGeneration,
              const std::optional<Endpoint>& aPeer,
              Moment aMoment,
              Actions& aActions);

  /** Does what is due. */
  void Advance(Moment aMoment, Actions& aActions);

  /** The platform answered. */
  void Handle(const StoreAnswered& aEvent, Moment aMoment, Actions& aActions);

  /** Another node answered, or failed to answer. */
  void Handle(const ObjectAnswered& aEvent, Moment aMoment, Actions& aActions);

  /** Another node asks for an object of the configuration in force. */
  void Handle(const ObjectAsked& aEvent, Moment aMoment, Actions& aActions);

  //==========================================================================
  /** Returns the time at which Advance() has something to do. */
  Instant NextDue() const { return m_nextDue; }

private:
  /* What is being fetched: first the head, then the manifest, then the service
     files that are not known yet. */
  struct Fetch
  {
    /* The node that is asked; the platform when there is none. */
    std::optional<Endpoint> m_peer;
    std::optional<ConfigurationHead> m_head;
    std::string m_manifestText;
    std::optional<Manifest> m_manifest;
    std::string m_object;
    Instant m_stepStarted;
  };

  void Start(std::optional<Endpoint> aPeer, Moment aMoment, Actions& aActions);
  void Ask(std::string aObject, Moment aMoment, Actions& aActions);
  void Take(const std::string& aContent, Moment aMoment, Actions& aActions);
  void TakeHead(const std::string& aContent, Moment aMoment, Actions& aActions);
  void TakeManifest(const std::string& aContent,
                    Moment aMoment,
                    Actions& aActions);
  void FetchNext(Moment aMoment, Actions& aActions);
  void Fail(Moment aMoment, Actions& aActions);
  void Adopt(Actions& aActions);
  Generation InForce() const;

  NodeShared& m_shared;
  Random m_random;
  Instant m_nextDue;
  Instant m_noticeDue;
  std::size_t m_fleetSize = 1;
  std::uint64_t m_sequence = 0;
  std::optional<Fetch> m_fetch;
  /** Head and manifest in force. */
  std::string m_headText;
  std::string m_manifestName;
  std::string m_manifestText;
  /** Service files in force, and those fetched for the next generation. */
  std::map<std::string, std::string> m_objects;
  /** Newest generation that proved to be at fault. */
  Generation m_refused = 0;
};

}
