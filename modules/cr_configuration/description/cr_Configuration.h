#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cr_core/cr_core.h"

namespace cr {

/** Which measure a service's policy favours under overload. */
enum class Objective : std::uint8_t
{
  Goodput,
  Recovery
};

/** A call that an operation makes to another service. */
struct CalledOperation
{
  OperationName m_name;
  Place m_place;
};

/** One operation, as its service file describes it. */
struct OperationDescription
{
  std::string m_name;
  Importance m_importance = Importance::Normal;
  bool m_idempotent = false;
  /** Time that a caller waits for the whole answer. */
  Duration m_patience = Seconds(1);
  /** Attempts granted to one customer request that enters here; 0 lets the
      check derive it from the call graph. */
  std::uint32_t m_attempts = 0;
  std::vector<CalledOperation> m_calls;
  Place m_place;
};

/** One service, as its service file describes it. */
struct ServiceDescription
{
  std::string m_name;
  Objective m_objective = Objective::Goodput;
  std::map<std::string, OperationDescription, std::less<>> m_operations;
  Place m_place;
};

/** What the check derives from the whole call graph for one operation. */
struct OperationDemand
{
  /** First tries of the operation and all calls below it. */
  std::uint32_t m_firstTries = 1;
  /** Longest chain of calls below the operation. */
  std::uint32_t m_depth = 0;
};

/** All services in force, of one generation. Immutable once built. */
struct Configuration
{
  Generation m_generation = 0;
  std::map<std::string, ServiceDescription, std::less<>> m_services;
  std::map<OperationName, OperationDemand> m_demands;

  /** Returns the operation, or null. Thread safe. */
  const OperationDescription* Find(const OperationName& aName) const;

  /** Returns the first tries that the operation needs with all calls below it.
      Thread safe. */
  std::uint32_t FirstTries(const OperationName& aName) const;

  /** Returns the attempts granted to a customer request that enters at the
      operation. Thread safe. */
  std::uint32_t AttemptTotal(const OperationName& aName) const;
};

/** A configuration that several readers share. */
using ConfigurationPointer = std::shared_ptr<const Configuration>;

}
