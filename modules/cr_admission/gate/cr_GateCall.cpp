#include "cr_admission/gate/cr_GateCall.h"

namespace cr {

namespace {

constexpr unsigned kCohortShift = 56;

}

std::uint8_t
CohortOf(const RequestId& aRequest)
{
  return static_cast<std::uint8_t>(Hash(aRequest.m_high, aRequest.m_low) >>
                                   kCohortShift);
}

}
