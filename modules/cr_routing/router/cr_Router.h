#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "cr_core/cr_core.h"
#include "cr_settings/cr_settings.h"

namespace cr {

/** A host that serves the router's service. */
struct RouteTarget
{
  HostName m_host;
  Incarnation m_incarnation{};
  std::string m_region;
  std::string m_dataCentre;
  Endpoint m_peer;
};

/** How an attempt ended, as far as routing is concerned. */
struct AttemptResult
{
  /** An answer of the backend server arrived. */
  bool m_answered = false;
  /** The gate refused; the host itself is well. */
  bool m_refused = false;
  Duration m_latency = Duration::zero();
  AdmissionLevel m_level = 0;
};

/** Chooses hosts of one service for the attempts of one node.

    Not thread safe. */
class Router
{
public:
  /** The places are those of the node that routes. */
  Router(std::string aRegion,
         std::string aDataCentre,
         std::uint64_t aSeed,
         const PolicySwitches& aPolicy);

  //==========================================================================
  /** Replaces the targets; what is known of those that stay is kept. */
  void Update(std::span<const RouteTarget> aTargets, Instant aNow);

  /** Chooses a host that is not excluded and counts the attempt as in flight.
      Returns nothing when there is none. */
  std::optional<RouteTarget> Choose(Rank aRank,
                                    std::span<const HostName> aExcluded,
                                    Instant aNow);

  /** Takes in how an attempt on the host ended. */
  void Report(const HostName& aHost,
              const AttemptResult& aResult,
              Instant aNow);

  //==========================================================================
  /** Returns the number of targets. */
  std::size_t Size() const { return m_entries.size(); }

private:
  struct Entry
  {
    RouteTarget m_target;
    std::uint32_t m_inFlight = 0;
  };

  std::string m_region;
  std::string m_dataCentre;
  Random m_random;
  PolicySwitches m_policy;
  std::vector<Entry> m_entries;
};

}
