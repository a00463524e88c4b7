#include "cr_node/shared/cr_RouterTable.h"

#include <mutex>

namespace cr {

RouterTable::RouterTable(const NodeIdentity& aIdentity,
                         const PolicySwitches& aPolicy)
  : m_identity(aIdentity)
  , m_policy(aPolicy)
{
}

void
RouterTable::Update(
  const std::map<std::string, std::vector<RouteTarget>>& aTargets,
  Instant aNow)
{
  for (const auto& [service, targets] : aTargets) {
    FindOrAdd(service)->WithLock(
      [&, &known = targets](Router& aRouter) { aRouter.Update(known, aNow); });
  }
  const std::shared_lock lock(m_mutex);
  for (const auto& [service, router] : m_routers) {
    if (!aTargets.contains(service)) {
      router->WithLock([&](Router& aRouter) { aRouter.Update({}, aNow); });
    }
  }
}

std::optional<RouteTarget>
RouterTable::Choose(const std::string& aService,
                    Rank aRank,
                    std::span<const HostName> aExcluded,
                    Instant aNow,
                    bool aMayBeRepeated)
{
  const RouterPointer router = Find(aService);
  if (!router) {
    return std::nullopt;
  }
  return router->WithLock([&](Router& aRouter) {
    return aRouter.Choose(aRank, aExcluded, aNow, aMayBeRepeated);
  });
}

void
RouterTable::Report(const std::string& aService,
                    const HostName& aHost,
                    const AttemptResult& aResult,
                    Instant aNow)
{
  if (const RouterPointer router = Find(aService)) {
    router->WithLock(
      [&](Router& aRouter) { aRouter.Report(aHost, aResult, aNow); });
  }
}

std::optional<AdmissionLevel>
RouterTable::LowestLevel(const std::string& aService, Instant aNow) const
{
  const RouterPointer router = Find(aService);
  if (!router) {
    return std::nullopt;
  }
  return router->WithLock(
    [&](const Router& aRouter) { return aRouter.LowestLevel(aNow); });
}

std::map<std::string, std::size_t>
RouterTable::HostCounts() const
{
  const std::shared_lock lock(m_mutex);
  std::map<std::string, std::size_t> sizes;
  for (const auto& [service, router] : m_routers) {
    sizes[service] =
      router->WithLock([](const Router& aRouter) { return aRouter.Size(); });
  }
  return sizes;
}

RouterTable::RouterPointer
RouterTable::Find(const std::string& aService) const
{
  const std::shared_lock lock(m_mutex);
  const auto router = m_routers.find(aService);
  return router == m_routers.end() ? nullptr : router->second;
}

RouterTable::RouterPointer
RouterTable::FindOrAdd(const std::string& aService)
{
  const std::unique_lock lock(m_mutex);
  RouterPointer& router = m_routers[aService];
  if (!router) {
    router = std::make_shared<Guarded<Router>>(
      NodeLocality{
        m_identity.m_host, m_identity.m_region, m_identity.m_dataCentre },
      Hash(aService, m_identity.m_seed),
      m_policy);
  }
  return router;
}

}
