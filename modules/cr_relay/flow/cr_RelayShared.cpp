#include "cr_relay/flow/cr_RelayShared.h"

#include <algorithm>

namespace cr {

double
RelayShared::LoadBelow(const std::string& aRoute, Instant aNow) const
{
  double load = 0;
  for (const std::string& called : m_pattern.Called()) {
    const auto told = m_pathLoads.find(called);
    if (told != m_pathLoads.end() && m_pattern.Calls(aRoute, called)) {
      load = std::max(load, told->second.Value(aNow));
    }
  }
  return load;
}

}
