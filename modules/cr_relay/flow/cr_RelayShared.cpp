#include "cr_relay/flow/cr_RelayShared.h"

#include <algorithm>

namespace cr {

double
RelayShared::DownstreamLoad(const std::string& aRoute, Instant aNow) const
{
  double load = 0;
  for (const auto& [called, average] : m_pathLoads) {
    if (m_pattern.MakesCalls(aRoute, called)) {
      load = std::max(load, average.Value(aNow));
    }
  }
  return load;
}

}
