#pragma once

#include <map>
#include <optional>
#include <string>

#include "cr_node/event/cr_Action.h"
#include "cr_node/event/cr_NodeIdentity.h"
#include "cr_node/shared/cr_NodeShared.h"

namespace cr {

/** Detects, fetches and activates newer configurations.

    The head is polled from the table at an interval that grows with the number
    of nodes. A gossip message with a newer generation starts a fetch from its
    sender, where that generation is active, so that the platform is not needed.
    Cached objects are not fetched again. Only a higher generation is ever
    activated.

    Not thread safe. */
class ConfigurationFlow
{
public:
  /** The shared state must outlive the flow. */
  explicit ConfigurationFlow(NodeShared& aShared);

  //==========================================================================
  /** Sets the number of nodes, which scales the interval of head reads. */
  void SetFleetSize(std::size_t aNodes) { m_fleetSize = aNodes; }

  /** Handles a generation that is active at another node; the peer, if given,
      has its objects. */
  void OnPeerGeneration(Generation aGeneration,
                        const std::optional<Endpoint>& aPeer,
                        Moment aMoment,
                        Actions& aActions);

  /** Polls the head when the next read is due. */
  void Advance(Moment aMoment, Actions& aActions);

  /** Handles the platform's answer. */
  void Handle(const StoreAnswered& aEvent, Moment aMoment, Actions& aActions);

  /** Handles another node's answer, or its absence. */
  void Handle(const ObjectFetched& aEvent, Moment aMoment, Actions& aActions);

  /** Answers another node's request for an object of the active
      configuration. */
  void Handle(const ObjectRequested& aEvent, Moment aMoment, Actions& aActions);

  //==========================================================================
  /** Returns the time at which Advance() must be called next. */
  Instant NextWakeup() const { return m_nextHeadRead; }

private:
  /* A fetch in progress: first the head, then the manifest, then the service
     files that are not cached. */
  struct Fetch
  {
    /* The node to fetch from; the platform when empty. */
    std::optional<Endpoint> m_peer;
    std::optional<ConfigurationHead> m_head;
    std::string m_manifestText;
    std::optional<Manifest> m_manifest;
    std::string m_object;
    Instant m_stepStarted;
  };

  void StartFetch(std::optional<Endpoint> aPeer,
                  Moment aMoment,
                  Actions& aActions);
  void RequestObject(std::string aObject, Moment aMoment, Actions& aActions);
  void HandleContent(const std::string& aContent,
                     Moment aMoment,
                     Actions& aActions);
  void HandleHead(const std::string& aContent,
                  Moment aMoment,
                  Actions& aActions);
  void HandleManifest(const std::string& aContent,
                      Moment aMoment,
                      Actions& aActions);
  void FetchNext(Moment aMoment, Actions& aActions);
  void HandleFailure(Moment aMoment, Actions& aActions);
  void Activate(Actions& aActions);
  Generation ActiveGeneration() const;

  NodeShared& m_shared;
  Random m_random;
  Instant m_nextHeadRead;
  Instant m_nextNotifiedFetch;
  std::size_t m_fleetSize = 1;
  std::uint64_t m_sequence = 0;
  std::optional<Fetch> m_fetch;
  /** Active head and manifest. */
  std::string m_headText;
  std::string m_manifestName;
  std::string m_manifestText;
  /** Active service files, and those fetched for the next generation, by object
      name. */
  std::map<std::string, std::string> m_objects;
  /** Newest generation that failed validation. */
  Generation m_rejectedGeneration = 0;
};

}
