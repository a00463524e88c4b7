#pragma once

#include <map>
#include <string>

namespace cr {

/** Allows a node retries on each called service as a share of its recent
    successes there, so that retries can't multiply an overload (the retry
   budget of Finagle and of the SRE literature).

    Services beyond 1024 get no retries. Not thread safe. */
class RetryQuota
{
public:
  /** A call of the service succeeded. */
  void CountSuccess(const std::string& aService);

  /** Takes a retry out of the service's quota. Returns false when none is
      left. */
  bool TakeRetry(const std::string& aService);

private:
  std::map<std::string, double> m_tokens;
};

}
