#include "cr_suspects/crash/cr_CrashDetector.h"

#include <algorithm>
#include <utility>

namespace cr {

void
CrashDetector::Begin(const Run& aRun, Instant aNow)
{
  m_running[aRun.m_call] = { aRun.m_key, aNow };
}

void
CrashDetector::Answer(CallId aCall)
{
  const auto run = m_running.find(aCall);
  if (run == m_running.end()) {
    return;
  }
  // Answers to older requests may have been sent before the crash.
  m_isAlive |= HasBroken() && run->second.m_begun > m_firstBroken;
  m_running.erase(run);
}

void
CrashDetector::End(CallId aCall)
{
  m_running.erase(aCall);
}

void
CrashDetector::Break(CallId aCall, Instant aNow)
{
  const auto run = m_running.find(aCall);
  if (run == m_running.end()) {
    return;
  }
  if (!HasBroken()) {
    m_firstBroken = aNow;
    m_isUnreachable = false;
    m_isAlive = false;
  }
  m_broken.push_back({ aCall, run->second.m_key });
  m_running.erase(run);
}

void
CrashDetector::OnUnreachable()
{
  m_isUnreachable |= HasBroken();
}

void
CrashDetector::OnAlive()
{
  m_isAlive |= HasBroken();
}

std::vector<CrashDetector::Run>
CrashDetector::TakeBroken()
{
  return std::exchange(m_broken, {});
}

CrashDetector::Verdict
CrashDetector::Decide(Instant aNow) const
{
  if (!HasBroken()) {
    return Verdict::Undecided;
  }
  if (m_isUnreachable && !HasOlderRun()) {
    return Verdict::Crashed;
  }
  if (m_isAlive) {
    return Verdict::Alive;
  }
  if (aNow < m_firstBroken + kDecisionTime) {
    return Verdict::Undecided;
  }
  return m_isUnreachable ? Verdict::Crashed : Verdict::Alive;
}

std::optional<Instant>
CrashDetector::DecideBy() const
{
  return HasBroken() ? std::optional(m_firstBroken + kDecisionTime)
                     : std::nullopt;
}

//==============================================================================
/* Returns whether the server still seems to run a request that it was given
   before the first connection broke. */
bool
CrashDetector::HasOlderRun() const
{
  return std::any_of(
    m_running.begin(), m_running.end(), [this](const auto& aRun) {
      return aRun.second.m_begun < m_firstBroken;
    });
}

}
