#include "cr_suspects/lane/cr_SuspectQueue.h"

#include <algorithm>

namespace cr {

SuspectQueue::Placement
SuspectQueue::Add(CallId aCall, const RequestKey& aRequest)
{
  if (m_running.empty() || m_running.front().m_request == aRequest) {
    m_running.push_back({ aCall, aRequest });
    return Placement::RunsNow;
  }
  if (m_waiting.size() >= kWaitingLimit) {
    return Placement::Full;
  }
  m_waiting.push_back({ aCall, aRequest });
  return Placement::Queued;
}

std::optional<CallId>
SuspectQueue::Remove(CallId aCall)
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
SuspectQueue::RemoveWaiting()
{
  std::vector<CallId> calls = Waiting();
  m_waiting.clear();
  return calls;
}

std::vector<CallId>
SuspectQueue::Waiting() const
{
  std::vector<CallId> calls;
  calls.reserve(m_waiting.size());
  for (const Entry& entry : m_waiting) {
    calls.push_back(entry.m_call);
  }
  return calls;
}

std::vector<CallId>
SuspectQueue::Running() const
{
  std::vector<CallId> calls;
  calls.reserve(m_running.size());
  for (const Entry& entry : m_running) {
    calls.push_back(entry.m_call);
  }
  return calls;
}

bool
SuspectQueue::IsWaiting(CallId aCall) const
{
  return std::any_of(
    m_waiting.begin(), m_waiting.end(), [aCall](const Entry& aEntry) {
      return aEntry.m_call == aCall;
    });
}

}
