#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "cr_core/cr_core.h"

namespace cr {

/** Number of latencies up to and including a bound. */
struct LatencyBucket
{
  Duration m_upperBound = Duration::zero();
  std::uint64_t m_count = 0;
};

/** Histogram of latencies with logarithmic bins from 10 microseconds to 100
    seconds, based on Boost.Histogram. Values outside the range count in the
    underflow and overflow bins.

    Not thread safe; concurrent users keep one per shard. */
class LatencyHistogram
{
public:
  /** Creates an empty histogram. More bins per decade give more precise
      quantiles and use more memory. Precondition: aBinsPerDecade is even and >
     0. */
  explicit LatencyHistogram(std::uint32_t aBinsPerDecade = 20);
  LatencyHistogram(const LatencyHistogram& aOther);
  LatencyHistogram& operator=(const LatencyHistogram& aOther);
  LatencyHistogram(LatencyHistogram&& aOther) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&& aOther) noexcept;
  ~LatencyHistogram();

  //==========================================================================
  /** Counts one latency. */
  void Add(Duration aLatency);

  /** Adds the counts of another histogram. Precondition: it has the same
      number of bins per decade. */
  void Merge(const LatencyHistogram& aOther);

  //==========================================================================
  /** Returns the number of latencies counted. */
  std::uint64_t Count() const { return m_count; }

  /** Returns the sum of the latencies counted. */
  Duration Sum() const { return m_sum; }

  /** Returns the upper bound of the bin that contains the quantile, which
     within the range is never below the quantile; zero when nothing was
     counted. Precondition: aQuantile is in [0, 1]. */
  Duration Quantile(double aQuantile) const;

  /** Returns cumulative counts at two bounds per decade. */
  std::vector<LatencyBucket> Buckets() const;

private:
  struct Bins;

  std::uint32_t m_binsPerDecade;
  std::uint64_t m_count = 0;
  Duration m_sum = Duration::zero();
  std::unique_ptr<Bins> m_bins;
};

}
