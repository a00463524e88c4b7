#include "cr_retry/quota/cr_RetryQuota.h"

#include <algorithm>

namespace cr {

namespace {

constexpr std::size_t kServiceLimit = 1024;
constexpr double kRetriesPerSuccess = 0.1;
constexpr double kFirstTokens = 3.0;
constexpr double kGreatestTokens = 20.0;

}

void
RetryQuota::CountSuccess(const std::string& aService)
{
  if (m_tokens.size() >= kServiceLimit && !m_tokens.contains(aService)) {
    return;
  }
  double& tokens = m_tokens.try_emplace(aService, kFirstTokens).first->second;
  tokens = std::min(kGreatestTokens, tokens + kRetriesPerSuccess);
}

bool
RetryQuota::TakeRetry(const std::string& aService)
{
  if (m_tokens.size() >= kServiceLimit && !m_tokens.contains(aService)) {
    return false;
  }
  double& tokens = m_tokens.try_emplace(aService, kFirstTokens).first->second;
  if (tokens < 1.0) {
    return false;
  }
  tokens -= 1.0;
  return true;
}

}
