#include "cr_suspects/lane/cr_SuspectLane.h"

#include <algorithm>

namespace cr {

SuspectLane::Entrance
SuspectLane::Enter(CallId aCall, const RequestId& aRequest)
{
  if (m_running.empty() || m_running.front().m_request == aRequest) {
    m_running.push_back({ aCall, aRequest });
    return Entrance::RunsNow;
  }
  if (m_waiting.size() >= kWaitingLimit) {
    return Entrance::Full;
  }
  m_waiting.push_back({ aCall, aRequest });
  return Entrance::Waits;
}

std::optional<CallId>
SuspectLane::Leave(CallId aCall)
{
  const auto isCall = [aCall](const Entry& aEntry) {
    return aEntry.m_call == aCall;
  };
  std::erase_if(m_waiting, isCall);
  if (std::erase_if(m_running, isCall) == 0 || !m_running.empty() ||
      m_waiting.empty()) {
    return std::nullopt;
  }
  m_running.push_back(m_waiting.front());
  m_waiting.pop_front();
  return m_running.front().m_call;
}

std::vector<CallId>
SuspectLane::TakeWaiting()
{
  std::vector<CallId> calls;
  calls.reserve(m_waiting.size());
  for (const Entry& entry : m_waiting) {
    calls.push_back(entry.m_call);
  }
  m_waiting.clear();
  return calls;
}

std::vector<CallId>
SuspectLane::Running() const
{
  std::vector<CallId> calls;
  calls.reserve(m_running.size());
  for (const Entry& entry : m_running) {
    calls.push_back(entry.m_call);
  }
  return calls;
}

bool
SuspectLane::Waits(CallId aCall) const
{
  return std::any_of(
    m_waiting.begin(), m_waiting.end(), [aCall](const Entry& aEntry) {
      return aEntry.m_call == aCall;
    });
}

}
