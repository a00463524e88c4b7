#include "cr_admission/gate/cr_ServerTimes.h"

namespace cr {

namespace {

constexpr std::size_t kOperationLimit = 256;
constexpr double kIncreaseWeight = 0.0625;
constexpr double kDecreaseWeight = 0.25;
constexpr double kLowerFactor = 0.95;

}

void
ServerTimes::RecordTime(const OperationName& aOperation, Duration aTime)
{
  const auto sample = static_cast<double>(aTime.count());
  const auto time = m_times.find(aOperation);
  if (time == m_times.end()) {
    if (m_times.size() < kOperationLimit) {
      m_times.emplace(aOperation, sample);
    }
    return;
  }
  const double weight =
    sample > time->second ? kIncreaseWeight : kDecreaseWeight;
  time->second += weight * (sample - time->second);
}

void
ServerTimes::LowerEstimate(const OperationName& aOperation)
{
  const auto time = m_times.find(aOperation);
  if (time != m_times.end()) {
    time->second *= kLowerFactor;
  }
}

Duration
ServerTimes::Expected(const OperationName& aOperation) const
{
  const auto time = m_times.find(aOperation);
  return time == m_times.end() ? Duration::zero()
                               : Duration(static_cast<long>(time->second));
}

}
