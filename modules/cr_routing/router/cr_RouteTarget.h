#pragma once

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

/** How an attempt ended, as far as routing is concerned. An attempt that was
    neither answered, refused nor lost on its connection counts against the
    host. */
struct AttemptResult
{
  /** An answer of the backend server arrived. */
  bool m_answered = false;
  /** The gate refused; the host itself is well. */
  bool m_refused = false;
  Duration m_latency = Duration::zero();
  AdmissionLevel m_level = 0;
  /** Only the connection failed: the host answered on another one. */
  bool m_connectionLost = false;
};

}
