#pragma once

#include <optional>

#include "cr_admission/share/cr_DecayingSum.h"

namespace cr {

/** The rate limit of a backend server, as a token bucket (Turner, 1986). A
    limit below kMinRate is raised to it, because only answers can tell that the
    limit has changed. Not thread safe. */
class RateLimit
{
public:
  /** Lowest enforced limit, in requests per second. */
  static constexpr double kMinRate = 1;

  /** Sets the limit in requests per second; empty for none. A new limit starts
      with an empty bucket. */
  void Set(std::optional<double> aRate, Instant aNow);

  /** Counts a request that was offered, dispatched or not. */
  void CountArrival(Instant aNow);

  /** Takes a token.
      @pre IsAvailable(aNow) */
  void Consume(Instant aNow);

  //==========================================================================
  /** Returns whether there is a limit. */
  bool IsSet() const { return m_rate > 0; }

  /** Returns whether one more request may be dispatched. */
  bool IsAvailable(Instant aNow) const;

  /** Returns the time at which the next token is there.
      @pre IsSet() */
  Instant NextAvailable() const;

  /** Returns the time at which the request is dispatched that is preceded by
      aBefore waiting ones.
      @pre IsSet() */
  Instant TimeOf(std::size_t aBefore, Instant aNow) const;

  /** Returns the requests offered per second, relative to the limit; 0 without
      a limit. */
  double Load(Instant aNow) const;

private:
  double Tokens(Instant aNow) const;

  /* 0 for no limit. */
  double m_rate = 0;
  double m_tokens = 0;
  Instant m_tokensUpdated;
  static constexpr Duration kLoadWindow = Milliseconds(500);
  DecayingSum m_arrivals{ kLoadWindow };
};

}
