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

/** Type of a metric family. */
enum class MetricKind : std::uint8_t
{
  /** Increases monotonically. */
  Counter,
  /** Passed to MetricRegistry::Write() by the caller. */
  Gauge,
  /** Distribution of latencies. */
  Histogram
};

/** Name, help text and type of the metrics that share a name. */
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

/** Current value of a gauge. */
struct GaugeValue
{
  MetricId m_metric = 0;
  std::vector<MetricLabel> m_labels;
  double m_value = 0;
};

/** Max label sets of one family per shard. Further ones are counted under the
    label set `overflow="true"`. */
inline constexpr std::size_t kMaxSeriesPerFamily = 1024;

/** Counts events and latencies in shards, each with its own lock; a thread
    always uses the same shard. All methods are thread safe. */
class MetricRegistry
{
public:
  /** The families must outlive the registry. */
  explicit MetricRegistry(std::span<const MetricFamily> aFamilies);

  //==========================================================================
  /** Increments a counter. Precondition: the family is a counter. */
  void Add(MetricId aMetric,
           std::span<const MetricLabel> aLabels,
           std::uint64_t aCount = 1);

  /** Records a latency. Precondition: the family is a histogram. */
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
  /* Series of one family, keyed by label text. */
  struct Family
  {
    std::map<std::string, std::uint64_t, std::less<>> m_counters;
    std::map<std::string, LatencyHistogram, std::less<>> m_histograms;
  };
  using Shard = std::vector<Family>;

  Guarded<Shard>& CurrentThreadShard();
  Family Total(MetricId aMetric) const;

  std::span<const MetricFamily> m_families;
  std::array<Guarded<Shard>, kShardCount> m_shards;
};

}
