#pragma once

#include <cstdint>

#include "cr_core/cr_core.h"

namespace cr {

/** What the gate needs to know of a call. */
struct GateCall
{
  CallId m_call{};
  RequestId m_request;
  OperationName m_operation;
  Importance m_importance = Importance::Normal;
  /** Calls above this one; work for the same request has begun there. */
  std::uint32_t m_depth = 0;
  /** The operation waits, directly or further down, for other calls to its own
      service. */
  bool m_needsOwnService = false;
  /** The caller gives up at this time. */
  Instant m_deadline;
};

/** Returns the cohort of a request: the same at every gate, so that a refused
    cohort is refused everywhere. Thread safe. */
std::uint8_t
CohortOf(const RequestId& aRequest);

}
