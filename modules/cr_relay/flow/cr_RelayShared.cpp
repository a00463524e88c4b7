#include "cr_relay/flow/cr_RelayShared.h"

#include <algorithm>

namespace cr {

PathBottleneck
RelayShared::DownstreamBottleneck(const std::string& aRoute, Instant aNow) const
{
  PathBottleneck highest;
  for (const auto& [called, path] : m_childCallPaths) {
    if (!m_pattern.MakesCalls(aRoute, called)) {
      continue;
    }
    const Duration work =
      Scale(path.m_work, m_pattern.CallsPerRequest(aRoute, called));
    const double load = path.m_load.Value(aNow);
    if (path.m_bottleneck == highest.m_service) {
      highest.m_work += work;
      highest.m_load = std::max(highest.m_load, load);
    } else if (load > highest.m_load) {
      highest = { path.m_bottleneck, load, work };
    }
  }
  return highest;
}

}
