#include "cr_store/follow/cr_StoreBackoff.h"

#include <algorithm>

namespace cr {

namespace {

constexpr Duration kInitialMeanDelay = Milliseconds(150);
constexpr int kMaxDoublings = 3;

}

void
StoreBackoff::OnFailure(Instant aNow)
{
  const int doublings = std::min(m_failures, kMaxDoublings);
  ++m_failures;
  const Duration mean =
    std::min(kInitialMeanDelay * (1 << doublings), kMaxMeanDelay);
  const double factor = m_random.NextDouble() + 0.5;
  m_notBefore = aNow + Scale(mean, factor);
}

void
StoreBackoff::DelayNext(Duration aMinDelay, Duration aJitter, Instant aNow)
{
  m_notBefore = aNow + aMinDelay +
                Duration(static_cast<Duration::rep>(m_random.NextBelow(
                  static_cast<std::uint64_t>(aJitter.count()))));
}

}
