#include "cr_routes/table/cr_RouteHolder.h"

namespace cr {

bool
RouteHolder::Adopt(RouteConfiguration aConfiguration)
{
  if (aConfiguration.m_generation <= ActiveGeneration()) {
    return false;
  }
  m_current = std::make_shared<RouteTable>(std::move(aConfiguration));
  return true;
}

}
