#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cr_core/cr_core.h"

namespace cr {

/** What the policy of a service optimizes for under overload. */
enum class Objective : std::uint8_t
{
  Goodput,
  Recovery
};

/** A call that an operation makes to another service. */
struct CalledOperation
{
  OperationName m_name;
  SourceLocation m_location;
};

/** One operation, as its service file describes it. */
struct OperationDescription
{
  std::string m_name;
  Importance m_importance = Importance::Normal;
  bool m_idempotent = false;
  /** Time that a caller waits for the complete answer. */
  Duration m_callerTimeout = Seconds(1);
  /** Attempt budget of one customer request that enters at this operation; 0
      derives it from the call graph. @see Configuration::AttemptBudget */
  std::uint32_t m_attempts = 0;
  std::vector<CalledOperation> m_calls;
  SourceLocation m_location;
};

/** One service, as its service file describes it. */
struct ServiceDescription
{
  std::string m_name;
  Objective m_objective = Objective::Goodput;
  std::map<std::string, OperationDescription, std::less<>> m_operations;
  SourceLocation m_location;
};

/** Size of the call tree below one operation, derived from the call graph. */
struct CallTreeSize
{
  /** Attempts that the operation and all calls below it need without
      retries. */
  std::uint32_t m_firstAttempts = 1;
  /** Length of the longest chain of calls below the operation. */
  std::uint32_t m_depth = 0;
};

/** All services of one published generation. Immutable once built. */
struct Configuration
{
  Generation m_generation = 0;
  std::map<std::string, ServiceDescription, std::less<>> m_services;
  std::map<OperationName, CallTreeSize> m_callTreeSizes;

  /** Returns the operation, or null if it is unknown. Thread safe. */
  const OperationDescription* Find(const OperationName& aName) const;

  /** Returns the attempts that the operation and all calls below it need
      without retries. Thread safe. */
  std::uint32_t FirstAttempts(const OperationName& aName) const;

  /** Returns the attempt budget of a customer request that enters at the
      operation. Thread safe. */
  std::uint32_t AttemptBudget(const OperationName& aName) const;
};

/** A shared immutable configuration. */
using ConfigurationPointer = std::shared_ptr<const Configuration>;

}
