#include "cr_store/follow/cr_StorePace.h"

#include <algorithm>

namespace cr {

namespace {

constexpr Duration kFirstPause = Milliseconds(150);
constexpr int kGreatestDoublings = 3;

}

void
StorePace::NoteFailure(Instant aNow)
{
  const int doublings = std::min(m_failures, kGreatestDoublings);
  ++m_failures;
  const Duration mean = std::min(kFirstPause * (1 << doublings), kLongestPause);
  const double factor = m_random.NextDouble() + 0.5;
  m_notBefore = aNow + Scale(mean, factor);
}

void
StorePace::PutOff(Duration aLeast, Duration aSpread, Instant aNow)
{
  m_notBefore = aNow + aLeast +
                Duration(static_cast<Duration::rep>(m_random.NextBelow(
                  static_cast<std::uint64_t>(aSpread.count()))));
}

}
