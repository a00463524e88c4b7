#pragma once

namespace cr {

/** The properties of a customer's request that ReturningFirst uses. */
struct ShareRequest
{
  /** The customer was refused before and retries. */
  bool m_isReturning = false;
  /** A uniform random number in [0, 1). */
  double m_uniform = 0;
};

/** Selects the requests of a route that make up its admitted share. Returning
    customers are admitted first; new ones get the rest. Not thread safe. */
class ReturningFirst
{
public:
  /** Returns whether the request is admitted, and counts it. aShare is the
      admitted share of all requests, in (0, 1]. */
  bool Admit(double aShare, const ShareRequest& aRequest);

private:
  /* Mean share of the requests that come from returning customers. */
  double m_returning = 0;
};

}
