#pragma once

#include <map>
#include <string>

namespace cr {

/** Limits a node's retries on each called service to a share of its recent
    successes there, so that retries can't amplify an overload (the retry
    budget of Finagle and of the SRE literature).

    Services beyond 1024 get no retries. Not thread safe. */
class RetryQuota
{
public:
  /** Counts a successful call of the service. */
  void CountSuccess(const std::string& aService);

  /** Consumes one retry of the service's quota. Returns false, and consumes
      nothing, when none is left. */
  bool TryConsumeRetry(const std::string& aService);

private:
  std::map<std::string, double> m_tokens;
};

}
