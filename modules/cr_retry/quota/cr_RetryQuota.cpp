#include "cr_retry/quota/cr_RetryQuota.h"

#include <algorithm>

namespace cr {

namespace {

constexpr std::size_t kServiceLimit = 1024;
constexpr double kRetriesPerSuccess = 0.1;
constexpr double kInitialTokens = 3.0;
constexpr double kMaxTokens = 20.0;

}

void
RetryQuota::CountSuccess(const std::string& aService)
{
  if (m_tokens.size() >= kServiceLimit && !m_tokens.contains(aService)) {
    return;
  }
  double& tokens = m_tokens.try_emplace(aService, kInitialTokens).first->second;
  tokens = std::min(kMaxTokens, tokens + kRetriesPerSuccess);
}

bool
RetryQuota::TryConsumeRetry(const std::string& aService)
{
  if (m_tokens.size() >= kServiceLimit && !m_tokens.contains(aService)) {
    return false;
  }
  double& tokens = m_tokens.try_emplace(aService, kInitialTokens).first->second;
  if (tokens < 1.0) {
    return false;
  }
  tokens -= 1.0;
  return true;
}

}
