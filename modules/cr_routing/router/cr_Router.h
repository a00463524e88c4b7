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

    A choice draws two random hosts of the nearest distance and takes the one
    with the lower product of in-flight attempts, measured latency and a factor
    for failures and refusals (two random choices: Mitzenmacher, 2001). Its cost
    does not grow with the number of hosts, unless nearly all of them are
    excluded or left out. Not thread safe. */
class Router
{
public:
  /** Greatest share of the hosts that may be left out at once. */
  static constexpr double kGreatestEjectedShare = 0.5;

  /** The place is that of the node that routes. */
  Router(RoutePlace aPlace, std::uint64_t aSeed, const PolicySwitches& aPolicy);

  //==========================================================================
  /** Replaces the targets by a subset of the given ones; what is known of those
      that stay is kept. A host that is new, or that has a new incarnation,
      starts with a small share. @see ChooseSubset */
  void Update(std::span<const RouteTarget> aTargets, Instant aNow);

  /** Chooses a host that is not excluded and counts the attempt as in flight.
      Hosts whose admission level is above the rank are taken only when no other
      is found. Returns nothing when all hosts are excluded. */
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

  /** Returns the number of targets that are left out. */
  std::size_t Ejected(Instant aNow) const;

  /** Returns the lowest admission level among the hosts in use; nothing when
      one of them has no fresh level, as it may admit any call. */
  std::optional<AdmissionLevel> LowestLevel(Instant aNow) const;

private:
  struct Entry
  {
    RouteTarget m_target;
    std::uint32_t m_inFlight = 0;
    HostHealth m_health;
  };

  /* A part of m_entries, which are ordered by distance. */
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

  void Index();
  Entry* ChooseAnywhere(const Request& aRequest);
  Entry* ChooseInGroup(const Group& aGroup, const Request& aRequest);
  Entry* Draw(const Group& aGroup, const Request& aRequest);
  Entry* FindUsable(const Group& aGroup, const Request& aRequest);
  Entry* FindLeastEjected(const Request& aRequest);
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
  Duration UsualLatency() const;
  void LearnUsualLatency(Duration aLatency);

  RoutePlace m_place;
  Random m_random;
  PolicySwitches m_policy;
  std::vector<Entry> m_entries;
  Group m_ownDataCentre;
  /* The own data centre included. */
  Group m_ownRegion;
  Group m_otherRegions;
  std::unordered_map<HostName, std::size_t> m_index;
  double m_usualLatencyUs = 0;
};

}
