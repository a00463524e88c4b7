#pragma once

#include <cstdint>

#include "cr_core/cr_core.h"

namespace cr {

/** The properties of a call that the gate uses. */
struct GateCall
{
  CallId m_call{};
  RequestId m_request;
  OperationName m_operation;
  Importance m_importance = Importance::Normal;
  /** Number of calls above this one in the request's call tree; these are
      already running. */
  std::uint32_t m_depth = 0;
  /** The operation waits, directly or through its child calls, for other calls
      to its own service. */
  bool m_needsOwnService = false;
  /** Time at which the caller gives up. */
  Instant m_deadline;
};

/** Returns the cohort of a request. It is the same at every gate, so that all
    gates refuse the same cohorts. Thread safe. */
std::uint8_t
CohortOf(const RequestId& aRequest);

}
