#pragma once

#include <map>
#include <memory>
#include <optional>
#include <shared_mutex>
#include <span>
#include <string>

#include "cr_node/event/cr_NodeIdentity.h"
#include "cr_routing/cr_routing.h"

namespace cr {

/** The routers of a node, one for each service, each under its own lock.

    Thread safe. */
class RouterTable
{
public:
  /** Creates a table without targets. The references must outlive it. */
  RouterTable(const NodeIdentity& aIdentity, const PolicySwitches& aPolicy);

  //==========================================================================
  /** Replaces the targets of every service; services that aTargets lacks have
      none afterwards. */
  void Update(const std::map<std::string, std::vector<RouteTarget>>& aTargets,
              Instant aNow);

  /** Chooses a host of the service. @see Router::Choose */
  std::optional<RouteTarget> Choose(const std::string& aService,
                                    Rank aRank,
                                    std::span<const HostName> aExcluded,
                                    Instant aNow,
                                    bool aMayBeRepeated);

  /** Reports the end of an attempt. @see Router::Report */
  void Report(const std::string& aService,
              const HostName& aHost,
              const AttemptResult& aResult,
              Instant aNow);

  //==========================================================================
  /** Returns the lowest admission level among the service's hosts; nothing when
      it is unknown. All hosts would refuse a call of a lower rank.
      @see Router::LowestLevel */
  std::optional<AdmissionLevel> LowestLevel(const std::string& aService,
                                            Instant aNow) const;

  /** Returns the number of known hosts by service. */
  std::map<std::string, std::size_t> HostCounts() const;

private:
  using RouterPointer = std::shared_ptr<Guarded<Router>>;

  RouterPointer Find(const std::string& aService) const;
  RouterPointer FindOrAdd(const std::string& aService);

  const NodeIdentity& m_identity;
  const PolicySwitches& m_policy;
  mutable std::shared_mutex m_mutex;
  std::map<std::string, RouterPointer, std::less<>> m_routers;
};

}
