#include "cr_configuration/description/cr_ConfigurationCheck.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace cr {

namespace {

constexpr std::uint32_t kGreatestDepth = 32;
constexpr std::uint32_t kGreatestAttempts = 256;
constexpr std::size_t kGreatestServices = 1024;

/* Walks the call graph depth first and derives each operation's demand. */
class DemandWalk
{
public:
  DemandWalk(Configuration& aConfiguration, Findings& aFindings)
    : m_configuration(aConfiguration)
    , m_findings(aFindings)
  {
  }

  const OperationDemand& Visit(const OperationName& aName,
                               const OperationDescription& aOperation)
  {
    const auto known = m_configuration.m_demands.find(aName);
    if (known != m_configuration.m_demands.end()) {
      return known->second;
    }
    m_open.insert(aName);
    OperationDemand demand;
    for (const CalledOperation& call : aOperation.m_calls) {
      AddCall(aOperation, call, demand);
    }
    m_open.erase(aName);
    return m_configuration.m_demands.emplace(aName, demand).first->second;
  }

private:
  void AddCall(const OperationDescription& aCaller,
               const CalledOperation& aCall,
               OperationDemand& aDemand)
  {
    const OperationDescription* callee = m_configuration.Find(aCall.m_name);
    if (callee == nullptr) {
      Add(aCall, "is not an operation of any service file");
      return;
    }
    if (m_open.contains(aCall.m_name)) {
      Add(aCall, "closes a cycle of calls");
      return;
    }
    if (aCaller.m_patience < callee->m_patience) {
      Add(aCall,
          fmt::format("is waited for {} ms, longer than this operation's own "
                      "patience_ms of {}",
                      ToMilliseconds(callee->m_patience),
                      ToMilliseconds(aCaller.m_patience)));
    }
    if (aCaller.m_idempotent && !callee->m_idempotent) {
      Add(aCall,
          "is not idempotent, so this operation, which calls it, is not "
          "idempotent either");
    }
    const OperationDemand& below = Visit(aCall.m_name, *callee);
    aDemand.m_firstTries = std::min(aDemand.m_firstTries + below.m_firstTries,
                                    kGreatestAttempts + 1);
    aDemand.m_depth = std::max(aDemand.m_depth, below.m_depth + 1);
  }

  void Add(const CalledOperation& aCall, std::string_view aText)
  {
    m_findings.push_back(
      { aCall.m_place, fmt::format("{} {}", ToText(aCall.m_name), aText) });
  }

  Configuration& m_configuration;
  Findings& m_findings;
  std::set<OperationName> m_open;
};

void
CheckDemand(const OperationDescription& aOperation,
            const OperationDemand& aDemand,
            Findings& aFindings)
{
  if (aDemand.m_depth > kGreatestDepth) {
    aFindings.push_back(
      { aOperation.m_place,
        fmt::format("the chain of calls below is {} deep; at most {} are "
                    "allowed",
                    aDemand.m_depth,
                    kGreatestDepth) });
  }
  const std::uint32_t allowed =
    aOperation.m_attempts == 0 ? kGreatestAttempts : aOperation.m_attempts;
  if (aDemand.m_firstTries > allowed) {
    aFindings.push_back(
      { aOperation.m_place,
        fmt::format("the first tries of this operation and the calls below it "
                    "are {}; only {} attempts are allowed",
                    aDemand.m_firstTries,
                    allowed) });
  }
}

}

Configuration
BuildConfiguration(Generation aGeneration,
                   std::span<const ServiceDescription> aServices,
                   Findings& aFindings)
{
  Configuration configuration;
  configuration.m_generation = aGeneration;
  for (const ServiceDescription& service : aServices) {
    const auto [place, added] =
      configuration.m_services.emplace(service.m_name, service);
    if (!added) {
      aFindings.push_back(
        { service.m_place,
          fmt::format("service \"{}\" is described twice; first in {}",
                      service.m_name,
                      place->second.m_place.m_file) });
    }
  }
  if (configuration.m_services.size() > kGreatestServices) {
    aFindings.push_back(
      { aServices.back().m_place,
        fmt::format("there are {} services; at most {} are allowed",
                    configuration.m_services.size(),
                    kGreatestServices) });
  }
  DemandWalk walk(configuration, aFindings);
  for (const auto& [serviceName, service] : configuration.m_services) {
    for (const auto& [operationName, operation] : service.m_operations) {
      const OperationDemand& demand =
        walk.Visit({ serviceName, operationName }, operation);
      CheckDemand(operation, demand, aFindings);
    }
  }
  return configuration;
}

}
