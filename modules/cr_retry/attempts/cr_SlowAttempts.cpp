#include "cr_retry/attempts/cr_SlowAttempts.h"

namespace cr {

namespace {

/* Routes whose times are known at most. */
constexpr std::size_t kRouteLimit = 1024;

}

void
SlowAttempts::RecordTime(const std::string& aRoute,
                         Duration aTime,
                         Instant aNow)
{
  if (m_times.size() >= kRouteLimit && !m_times.contains(aRoute)) {
    m_times.clear();
  }
  m_times[aRoute].Record(aTime, aNow);
}

void
SlowAttempts::Begin(CallId aCall,
                    const std::string& aRoute,
                    Instant aDeadline,
                    Instant aNow)
{
  End(aCall);
  const auto times = m_times.find(aRoute);
  const std::optional<Duration> usual =
    times != m_times.end() ? times->second.SlowAfter(aNow) : std::nullopt;
  if (usual && aNow + 2 * *usual <= aDeadline) {
    m_due[aCall] = aNow + *usual;
    m_order.insert({ aNow + *usual, aCall });
  }
}

void
SlowAttempts::End(CallId aCall)
{
  const auto due = m_due.find(aCall);
  if (due != m_due.end()) {
    m_order.erase({ due->second, aCall });
    m_due.erase(due);
  }
}

std::optional<CallId>
SlowAttempts::TakeSlow(Instant aNow)
{
  if (m_order.empty() || m_order.begin()->first > aNow) {
    return std::nullopt;
  }
  const CallId call = m_order.begin()->second;
  End(call);
  return call;
}

std::optional<Instant>
SlowAttempts::NextWakeup() const
{
  return m_order.empty() ? std::nullopt : std::optional(m_order.begin()->first);
}

}
