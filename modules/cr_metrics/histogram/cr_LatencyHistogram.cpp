#include "cr_metrics/histogram/cr_LatencyHistogram.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace cr {

namespace {

namespace histogram = boost::histogram;

constexpr double kMinMicroseconds = 10;
constexpr double kMaxMicroseconds = 1e8;
constexpr std::uint32_t kDecades = 7;

auto
MakeBins(std::uint32_t aBinsPerDecade)
{
  using Axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
  return histogram::make_histogram_with(
    histogram::dense_storage<std::uint64_t>(),
    Axis(aBinsPerDecade * kDecades, kMinMicroseconds, kMaxMicroseconds));
}

Duration
ToDuration(double aMicroseconds)
{
  return Duration(static_cast<Duration::rep>(std::llround(aMicroseconds)));
}

}

struct LatencyHistogram::Bins
{
  explicit Bins(std::uint32_t aBinsPerDecade)
    : m_counts(MakeBins(aBinsPerDecade))
  {
  }

  decltype(MakeBins(0)) m_counts;
};

LatencyHistogram::LatencyHistogram(std::uint32_t aBinsPerDecade)
  : m_binsPerDecade(aBinsPerDecade)
  , m_bins(std::make_unique<Bins>(aBinsPerDecade))
{
  assert(aBinsPerDecade > 0 && aBinsPerDecade % 2 == 0);
}

LatencyHistogram::LatencyHistogram(const LatencyHistogram& aOther)
  : m_binsPerDecade(aOther.m_binsPerDecade)
  , m_count(aOther.m_count)
  , m_sum(aOther.m_sum)
  , m_bins(std::make_unique<Bins>(*aOther.m_bins))
{
}

LatencyHistogram&
LatencyHistogram::operator=(const LatencyHistogram& aOther)
{
  if (this != &aOther) {
    *this = LatencyHistogram(aOther);
  }
  return *this;
}

LatencyHistogram::LatencyHistogram(LatencyHistogram&& aOther) noexcept =
  default;
LatencyHistogram&
LatencyHistogram::operator=(LatencyHistogram&& aOther) noexcept = default;
LatencyHistogram::~LatencyHistogram() = default;

void
LatencyHistogram::Add(Duration aLatency)
{
  const double minimum = kMinMicroseconds / 2;
  m_bins->m_counts(std::max(static_cast<double>(aLatency.count()), minimum));
  ++m_count;
  m_sum += aLatency;
}

void
LatencyHistogram::Merge(const LatencyHistogram& aOther)
{
  assert(m_binsPerDecade == aOther.m_binsPerDecade);
  m_bins->m_counts += aOther.m_bins->m_counts;
  m_count += aOther.m_count;
  m_sum += aOther.m_sum;
}

Duration
LatencyHistogram::Quantile(double aQuantile) const
{
  assert(aQuantile >= 0 && aQuantile <= 1);
  if (m_count == 0) {
    return Duration::zero();
  }
  const auto rank =
    std::max<std::uint64_t>(1,
                            static_cast<std::uint64_t>(std::ceil(
                              aQuantile * static_cast<double>(m_count))));
  const auto& axis = m_bins->m_counts.axis();
  std::uint64_t cumulative = 0;
  for (int index = -1; index < axis.size(); ++index) {
    cumulative += m_bins->m_counts.at(index);
    if (cumulative >= rank) {
      return ToDuration(axis.value(index + 1));
    }
  }
  return ToDuration(kMaxMicroseconds);
}

std::vector<LatencyBucket>
LatencyHistogram::Buckets() const
{
  const auto& axis = m_bins->m_counts.axis();
  const int step = static_cast<int>(m_binsPerDecade / 2);
  std::vector<LatencyBucket> buckets;
  std::uint64_t cumulative = 0;
  for (int index = -1; index < axis.size(); ++index) {
    cumulative += m_bins->m_counts.at(index);
    if ((index + 1) % step == 0) {
      buckets.push_back({ ToDuration(axis.value(index + 1)), cumulative });
    }
  }
  return buckets;
}

}
