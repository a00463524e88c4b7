#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "cr_routing/health/cr_HostHealth.h"
#include "cr_routing/router/cr_RouteTarget.h"
#include "cr_routing/subset/cr_Subset.h"

namespace cr {

/** Chooses hosts of one service for the attempts of one node.

    Picks two random hosts of the nearest distance and chooses the one with the
    lower product of in-flight attempts, measured latency and a factor for
    failures and refusals (power of two choices: Mitzenmacher, 2001). The cost
    of a choice does not depend on the number of hosts, unless nearly all of
    them are excluded or ejected. Not thread safe. */
class Router
{
public:
  /** Maximum share of the hosts that may be ejected at once. */
  static constexpr double kMaxEjectedShare = 0.5;

  /** aLocality is that of the routing node. */
  Router(NodeLocality aLocality,
         std::uint64_t aSeed,
         const PolicySwitches& aPolicy);

  //==========================================================================
  /** Replaces the targets by a subset of the given ones. Targets that stay keep
      their statistics. A host that is new, or that has a new incarnation,
      starts with a small share. @see ChooseSubset */
  void Update(std::span<const RouteTarget> aTargets, Instant aNow);

  /** Chooses a host that is not excluded and counts the attempt as in flight.
      Hosts whose admission level is above the rank are chosen only when no
      other is found. Returns nothing when all hosts are excluded. An attempt
      that may be repeated may be sent to an ejected host as a probe. */
  std::optional<RouteTarget> Choose(Rank aRank,
                                    std::span<const HostName> aExcluded,
                                    Instant aNow,
                                    bool aMayBeRepeated = false);

  /** Records the result of an attempt on the host. */
  void Report(const HostName& aHost,
              const AttemptResult& aResult,
              Instant aNow);

  //==========================================================================
  /** Returns the number of targets. */
  std::size_t Size() const { return m_entries.size(); }

  /** Returns the number of ejected targets. */
  std::size_t Ejected(Instant aNow) const;

  /** Returns the lowest admission level of the hosts that are not ejected;
      nothing when one of them has no recent level, as it may admit any call. */
  std::optional<AdmissionLevel> LowestLevel(Instant aNow) const;

  /** Returns whether a host that is not ejected has reported neither load nor a
      rate limit that keeps requests from it. */
  bool HasUnrestrictedHost(Instant aNow) const;

private:
  struct Entry
  {
    RouteTarget m_target;
    std::uint32_t m_inFlight = 0;
    HostHealth m_health;
  };

  /* A range of m_entries, which are ordered by distance. */
  struct Group
  {
    std::size_t m_begin = 0;
    std::size_t m_size = 0;
  };

  struct Request
  {
    Rank m_rank = 0;
    std::span<const HostName> m_excluded;
    Instant m_now;
  };

  void RebuildIndex();
  Entry* ChooseProbe(const Request& aRequest);
  Entry* ChooseHost(const Request& aRequest);
  bool DrawLimitShare(const Entry& aEntry);
  Entry* ChooseInGroup(const Group& aGroup, const Request& aRequest);
  Entry* PickHost(const Group& aGroup, const Request& aRequest);
  Entry* FindUsable(const Group& aGroup, const Request& aRequest);
  Entry* FindCheapestNotExcluded(const Request& aRequest);
  bool IsExcluded(const Entry& aEntry, const Request& aRequest) const;
  bool IsUsable(const Entry& aEntry, const Request& aRequest) const;
  bool Refuses(const Entry& aEntry, const Request& aRequest) const;
  bool IsBetter(const Entry& aFirst,
                const Entry& aSecond,
                const Request& aRequest) const;
  bool IsSlow(const Entry& aEntry, Instant aNow) const;
  bool IsLoaded(const Entry& aEntry, const Request& aRequest) const;
  bool IsOverloaded(const Entry& aNear,
                    const Entry& aFar,
                    const Request& aRequest) const;
  double Cost(const Entry& aEntry, Instant aNow) const;
  void EjectIfOutlier(Entry& aEntry, Instant aNow);
  Duration BaselineLatency() const;
  void UpdateBaselineLatency(Duration aLatency);

  NodeLocality m_locality;
  Random m_random;
  PolicySwitches m_policy;
  std::vector<Entry> m_entries;
  Group m_ownDataCentre;
  /* Includes the own data centre. */
  Group m_ownRegion;
  Group m_otherRegions;
  std::unordered_map<HostName, std::size_t> m_index;
  double m_baselineLatencyUs = 0;
  /* Probes that may be sent; a fraction until it reaches 1. */
  double m_probeCredit = 0;
  /* No host is ejected from then on. */
  Instant m_ejectionsUntil = Instant::min();
};

}
