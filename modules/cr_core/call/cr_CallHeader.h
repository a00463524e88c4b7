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

/** Names an operation of a service. */
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

/** The body of a request or an answer. Decisions pass it on and never look
    into it. */
struct Payload
{
  std::string m_contentType;
  std::string m_body;
};

/** A payload that several holders share. */
using PayloadPointer = std::shared_ptr<const Payload>;

/** Number of a configuration; only ever raised. 0 means none. */
using Generation = std::uint64_t;

/** Admission threshold of a gate: calls whose rank is below it are refused.
    0 admits everything. @see RankOf */
using AdmissionLevel = std::uint16_t;

/** Rank of a call: importance first, then the request's cohort. */
using Rank = std::uint16_t;

/** Number of cohorts that requests of one importance are split into. */
inline constexpr Rank kCohortCount = 256;

/** Returns the rank that a cohort has within an importance. Thread safe. */
constexpr Rank
RankOf(Importance aImportance, std::uint8_t aCohort)
{
  return static_cast<Rank>(static_cast<unsigned>(aImportance) * kCohortCount +
                           aCohort);
}

/** What travels with a call from node to node. */
struct CallHeader
{
  RequestId m_request;
  OperationName m_operation;
  Importance m_importance = Importance::Normal;
  std::optional<IdempotencyKey> m_key;
  /** Time left until the caller gives up. */
  Duration m_remaining = Duration::zero();
  /** Attempts that this call and all calls below it may still make, this
      attempt included. */
  std::uint32_t m_grant = 0;
  /** Calls above this one; above 0 the request's work has begun elsewhere. */
  std::uint32_t m_depth = 0;
  /** Newest configuration known to the sender. */
  Generation m_generation = 0;
  /** Servers that died of the request at this operation, as far as the sender
      knows. */
  std::uint32_t m_deaths = 0;
};

/** What travels back with the answer of a call. */
struct CallReport
{
  Outcome m_outcome = Outcome::Unknown;
  Reason m_reason = Reason::None;
  /** HTTP status of the backend server's answer; 0 when there is none. */
  unsigned m_status = 0;
  /** Part of the grant that was not spent. */
  std::uint32_t m_unspent = 0;
  /** Present admission level of the answering gate. */
  AdmissionLevel m_level = 0;
  /** Newest configuration known to the answering node. */
  Generation m_generation = 0;
};

}
