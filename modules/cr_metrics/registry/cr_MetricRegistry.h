#pragma once

#include <array>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cr_core/cr_core.h"
#include "cr_metrics/histogram/cr_LatencyHistogram.h"

namespace cr {

/** How the values of a family are kept and written. */
enum class MetricKind : std::uint8_t
{
  /** Only rises. */
  Counter,
  /** Given by the caller at each writing. */
  Gauge,
  /** Latencies. */
  Histogram
};

/** Metrics of one name. */
struct MetricFamily
{
  std::string_view m_name;
  std::string_view m_help;
  MetricKind m_kind = MetricKind::Counter;
};

/** Index of a family in the list that the registry was built with. */
using MetricId = std::size_t;

/** One label of a metric. */
struct MetricLabel
{
  std::string_view m_name;
  std::string_view m_value;
};

/** A gauge's present value. */
struct GaugeValue
{
  MetricId m_metric = 0;
  std::vector<MetricLabel> m_labels;
  double m_value = 0;
};

/** Most label sets of one family that a shard keeps. Further ones are counted
    under the label set `overflow="true"`. */
inline constexpr std::size_t kSeriesLimit = 1024;

/** Counts events and latencies in shards, each under its own lock; a thread
    keeps to one shard. All methods are thread safe. */
class MetricRegistry
{
public:
  /** The families must outlive the registry. */
  explicit MetricRegistry(std::span<const MetricFamily> aFamilies);

  //==========================================================================
  /** Raises a counter. Precondition: the family is a counter. */
  void Add(MetricId aMetric,
           std::span<const MetricLabel> aLabels,
           std::uint64_t aCount = 1);

  /** Counts a latency. Precondition: the family is a histogram. */
  void Observe(MetricId aMetric,
               std::span<const MetricLabel> aLabels,
               Duration aLatency);

  //==========================================================================
  /** Returns the total of a counter over all label sets. */
  std::uint64_t Sum(MetricId aMetric) const;

  /** Writes all families in the Prometheus text exposition format, version
      0.0.4. Latencies are in seconds. */
  std::string Write(std::span<const GaugeValue> aGauges) const;

private:
  /* Series of one family by their label text. */
  struct Family
  {
    std::map<std::string, std::uint64_t, std::less<>> m_counters;
    std::map<std::string, LatencyHistogram, std::less<>> m_histograms;
  };
  using Shard = std::vector<Family>;

  Guarded<Shard>& OwnShard();
  Family Total(MetricId aMetric) const;

  std::span<const MetricFamily> m_families;
  std::array<Guarded<Shard>, kShardCount> m_shards;
};

}
