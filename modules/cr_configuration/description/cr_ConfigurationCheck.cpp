#include "cr_configuration/description/cr_ConfigurationCheck.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace cr {

namespace {

constexpr std::uint32_t kMaxDepth = 32;
constexpr std::uint32_t kMaxAttempts = 256;
constexpr std::size_t kMaxServices = 1024;

/* Walks the call graph depth first, computes the call tree size of each
   operation, and adds a finding for each invalid call. */
class CallGraphWalk
{
public:
  CallGraphWalk(Configuration& aConfiguration, Findings& aFindings)
    : m_configuration(aConfiguration)
    , m_findings(aFindings)
  {
  }

  const CallTreeSize& Visit(const OperationName& aName,
                            const OperationDescription& aOperation)
  {
    const auto known = m_configuration.m_callTreeSizes.find(aName);
    if (known != m_configuration.m_callTreeSizes.end()) {
      return known->second;
    }
    m_visiting.insert(aName);
    CallTreeSize treeSize;
    for (const CalledOperation& call : aOperation.m_calls) {
      AddCall(aOperation, call, treeSize);
    }
    m_visiting.erase(aName);
    return m_configuration.m_callTreeSizes.emplace(aName, treeSize)
      .first->second;
  }

private:
  void AddCall(const OperationDescription& aCaller,
               const CalledOperation& aCall,
               CallTreeSize& aSize)
  {
    const OperationDescription* callee = m_configuration.Find(aCall.m_name);
    if (callee == nullptr) {
      AddFinding(aCall, "is not an operation of any service file");
      return;
    }
    if (m_visiting.contains(aCall.m_name)) {
      AddFinding(aCall, "closes a cycle of calls");
      return;
    }
    if (aCaller.m_callerTimeout < callee->m_callerTimeout) {
      AddFinding(
        aCall,
        fmt::format("is waited for {} ms, longer than this operation's own "
                    "patience_ms of {}",
                    ToMilliseconds(callee->m_callerTimeout),
                    ToMilliseconds(aCaller.m_callerTimeout)));
    }
    if (aCaller.m_idempotent && !callee->m_idempotent) {
      AddFinding(aCall,
                 "is not idempotent, so this operation, which calls it, is not "
                 "idempotent either");
    }
    const CallTreeSize& calleeSize = Visit(aCall.m_name, *callee);
    aSize.m_firstAttempts = std::min(
      aSize.m_firstAttempts + calleeSize.m_firstAttempts, kMaxAttempts + 1);
    aSize.m_depth = std::max(aSize.m_depth, calleeSize.m_depth + 1);
  }

  void AddFinding(const CalledOperation& aCall, std::string_view aText)
  {
    m_findings.push_back(
      { aCall.m_location, fmt::format("{} {}", ToText(aCall.m_name), aText) });
  }

  Configuration& m_configuration;
  Findings& m_findings;
  std::set<OperationName> m_visiting;
};

void
CheckCallTreeSize(const OperationDescription& aOperation,
                  const CallTreeSize& aSize,
                  Findings& aFindings)
{
  if (aSize.m_depth > kMaxDepth) {
    aFindings.push_back(
      { aOperation.m_location,
        fmt::format("the chain of calls below is {} deep; at most {} are "
                    "allowed",
                    aSize.m_depth,
                    kMaxDepth) });
  }
  const std::uint32_t allowed =
    aOperation.m_attempts == 0 ? kMaxAttempts : aOperation.m_attempts;
  if (aSize.m_firstAttempts > allowed) {
    aFindings.push_back(
      { aOperation.m_location,
        fmt::format("the first tries of this operation and the calls below it "
                    "are {}; only {} attempts are allowed",
                    aSize.m_firstAttempts,
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
    const auto [existing, added] =
      configuration.m_services.emplace(service.m_name, service);
    if (!added) {
      aFindings.push_back(
        { service.m_location,
          fmt::format("service \"{}\" is described twice; first in {}",
                      service.m_name,
                      existing->second.m_location.m_file) });
    }
  }
  if (configuration.m_services.size() > kMaxServices) {
    aFindings.push_back(
      { aServices.back().m_location,
        fmt::format("there are {} services; at most {} are allowed",
                    configuration.m_services.size(),
                    kMaxServices) });
  }
  CallGraphWalk walk(configuration, aFindings);
  for (const auto& [serviceName, service] : configuration.m_services) {
    for (const auto& [operationName, operation] : service.m_operations) {
      const CallTreeSize& treeSize =
        walk.Visit({ serviceName, operationName }, operation);
      CheckCallTreeSize(operation, treeSize, aFindings);
    }
  }
  return configuration;
}

}
