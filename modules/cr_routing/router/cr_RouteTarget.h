#pragma once

#include <optional>
#include <string>

#include "cr_core/cr_core.h"
#include "cr_settings/cr_settings.h"

namespace cr {

/** A host that serves the router's service. */
struct RouteTarget
{
  HostName m_host;
  Incarnation m_incarnation{};
  std::string m_region;
  std::string m_dataCentre;
  Endpoint m_peer;
};

/** Result of an attempt, as far as routing uses it. An attempt that was neither
    answered nor refused, and whose connection was not lost, counts as a failure
    of the host. */
struct AttemptResult
{
  /** An answer of the backend server arrived. */
  bool m_answered = false;
  /** The gate refused the attempt; the host itself is healthy. */
  bool m_refused = false;
  Duration m_latency = Duration::zero();
  AdmissionLevel m_level = 0;
  /** The attempt tells nothing about the host, as if its connection had been
      lost while others are in use. */
  bool m_connectionLost = false;
  /** Requests offered to the host's backend server, relative to its rate limit;
      empty if it has none. */
  std::optional<double> m_rateLoad{};
};

}
