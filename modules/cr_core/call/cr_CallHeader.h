#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "cr_core/identity/cr_Identifier.h"
#include "cr_core/identity/cr_Importance.h"
#include "cr_core/identity/cr_Outcome.h"
#include "cr_core/time/cr_Time.h"

namespace cr {

/** Qualified name of an operation: its service and the operation. */
struct OperationName
{
  std::string m_service;
  std::string m_operation;

  auto operator<=>(const OperationName&) const = default;
};

/** Returns `service/operation`. Thread safe. */
inline std::string
ToText(const OperationName& aName)
{
  return aName.m_service + '/' + aName.m_operation;
}

/** The body of a request or an answer. The decision modules forward it without
    inspecting it. */
struct Payload
{
  std::string m_contentType;
  std::string m_body;
  /** Keeps the reservation of the body's memory; may be null. */
  std::shared_ptr<const void> m_memory{};
};

/** A shared immutable payload. */
using PayloadPointer = std::shared_ptr<const Payload>;

/** Version number of a published configuration. It increases with every
    publication; 0 means that there is no configuration. */
using Generation = std::uint64_t;

/** Admission threshold of a gate: calls whose rank is below it are refused. 0
    admits every call. @see RankOf */
using AdmissionLevel = std::uint16_t;

/** Priority of a call: ordered by importance, then by the request's cohort. A
    call of a higher rank is refused later. */
using Rank = std::uint16_t;

/** Number of cohorts into which the requests of one importance are divided. */
inline constexpr Rank kCohortCount = 256;

/** Returns the rank for an importance and a cohort. Thread safe. */
constexpr Rank
RankOf(Importance aImportance, std::uint8_t aCohort)
{
  return static_cast<Rank>(static_cast<unsigned>(aImportance) * kCohortCount +
                           aCohort);
}

/** Metadata that a call carries from node to node. */
struct CallHeader
{
  RequestId m_request;
  OperationName m_operation;
  Importance m_importance = Importance::Normal;
  std::optional<IdempotencyKey> m_key;
  /** Time left until the caller times out. */
  Duration m_remaining = Duration::zero();
  /** Attempts left for this call and all calls below it, this attempt
      included. */
  std::uint32_t m_attemptBudget = 0;
  /** Number of calls above this one in the call tree. Above 0, this is a child
      call of a request that a backend server already runs. */
  std::uint32_t m_depth = 0;
  /** Newest configuration generation known to the calling node. */
  Generation m_generation = 0;
  /** Backend server crashes that the calling node attributes to this request at
      this operation. */
  std::uint32_t m_crashes = 0;
};

/** Metadata that is returned with the answer of a call. */
struct CallReport
{
  Outcome m_outcome = Outcome::Unknown;
  Reason m_reason = Reason::None;
  /** HTTP status of the backend server's answer; 0 when there is none. */
  unsigned m_status = 0;
  /** Attempts of the call's budget that were not used. */
  std::uint32_t m_unusedAttempts = 0;
  /** Current admission level of the answering gate. */
  AdmissionLevel m_level = 0;
  /** Newest configuration generation known to the answering node. */
  Generation m_generation = 0;
};

}
