#include "cr_admission/slots/cr_RateLimit.h"

#include <algorithm>

namespace cr {

namespace {

/* Requests that may be dispatched at once, as time at the limit. */
constexpr Duration kBurstTime = Milliseconds(250);

}

void
RateLimit::Set(std::optional<double> aRate, Instant aNow)
{
  m_tokens = IsSet() ? Tokens(aNow) : 0;
  m_tokensUpdated = aNow;
  m_rate = aRate ? std::max(kMinRate, *aRate) : 0;
}

void
RateLimit::CountArrival(Instant aNow)
{
  m_arrivals.Add(1, aNow);
}

void
RateLimit::Consume(Instant aNow)
{
  if (IsSet()) {
    m_tokens = Tokens(aNow) - 1;
    m_tokensUpdated = aNow;
  }
}

bool
RateLimit::IsAvailable(Instant aNow) const
{
  // Tolerates the rounding of TimeOf() to whole microseconds.
  constexpr double tolerance = 1e-3;
  return !IsSet() || Tokens(aNow) >= 1 - tolerance;
}

Instant
RateLimit::NextAvailable() const
{
  return m_tokensUpdated + FromSeconds(std::max(0.0, (1 - m_tokens) / m_rate));
}

Instant
RateLimit::TimeOf(std::size_t aBefore, Instant aNow) const
{
  const double missing = static_cast<double>(aBefore + 1) - Tokens(aNow);
  return missing > 0 ? aNow + FromSeconds(missing / m_rate) : aNow;
}

double
RateLimit::Load(Instant aNow) const
{
  return IsSet() ? m_arrivals.Value(aNow) / ToSeconds(kLoadWindow) / m_rate : 0;
}

//==============================================================================
double
RateLimit::Tokens(Instant aNow) const
{
  const double capacity = std::max(1.0, m_rate * ToSeconds(kBurstTime));
  return std::min(capacity,
                  m_tokens + m_rate * ToSeconds(aNow - m_tokensUpdated));
}

}
