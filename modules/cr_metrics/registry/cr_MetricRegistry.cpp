#include "cr_metrics/registry/cr_MetricRegistry.h"

#include <cassert>
#include <iterator>
#include <thread>

#include <fmt/format.h>

namespace cr {

namespace {

constexpr std::string_view kOverflowLabels = "overflow=\"true\"";
constexpr double kMicrosecondsPerSecond = 1e6;

/* Escapes backslash, quote and line feed, as label values require. */
void
AppendEscaped(std::string& aText, std::string_view aValue)
{
  for (const char character : aValue) {
    if (character == '\n') {
      aText += "\\n";
      continue;
    }
    if (character == '\\' || character == '"') {
      aText += '\\';
    }
    aText += character;
  }
}

std::string
LabelText(std::span<const MetricLabel> aLabels)
{
  std::string text;
  for (const MetricLabel& label : aLabels) {
    if (!text.empty()) {
      text += ',';
    }
    text += label.m_name;
    text += "=\"";
    AppendEscaped(text, label.m_value);
    text += '"';
  }
  return text;
}

/* Returns the series with the labels, adding it if needed, or the overflow
   series at the limit. */
template<typename Value>
Value&
FindOrAddSeries(std::map<std::string, Value, std::less<>>& aSeries,
                std::string&& aLabels)
{
  const auto found = aSeries.find(aLabels);
  if (found != aSeries.end()) {
    return found->second;
  }
  if (aSeries.size() >= kMaxSeriesPerFamily) {
    return aSeries[std::string(kOverflowLabels)];
  }
  return aSeries[std::move(aLabels)];
}

double
InSeconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / kMicrosecondsPerSecond;
}

std::string
Braced(std::string_view aLabels)
{
  return aLabels.empty() ? std::string() : fmt::format("{{{}}}", aLabels);
}

std::string_view
KindName(MetricKind aKind)
{
  constexpr std::array<std::string_view, 3> names = { "counter",
                                                      "gauge",
                                                      "histogram" };
  return names.at(static_cast<std::size_t>(aKind));
}

void
WriteHistogram(std::string& aText,
               std::string_view aName,
               const std::string& aLabels,
               const LatencyHistogram& aHistogram)
{
  const std::string comma = aLabels.empty() ? "" : ",";
  const auto into = std::back_inserter(aText);
  for (const LatencyBucket& bucket : aHistogram.Buckets()) {
    fmt::format_to(into,
                   "{}_bucket{{{}{}le=\"{}\"}} {}\n",
                   aName,
                   aLabels,
                   comma,
                   InSeconds(bucket.m_upperBound),
                   bucket.m_count);
  }
  const std::string braced = Braced(aLabels);
  fmt::format_to(
    into,
    "{}_bucket{{{}{}le=\"+Inf\"}} {}\n{}_sum{} {}\n{}_count{} {}\n",
    aName,
    aLabels,
    comma,
    aHistogram.Count(),
    aName,
    braced,
    InSeconds(aHistogram.Sum()),
    aName,
    braced,
    aHistogram.Count());
}

}

MetricRegistry::MetricRegistry(std::span<const MetricFamily> aFamilies)
  : m_families(aFamilies)
{
  for (auto& shard : m_shards) {
    shard.WithLock([&](Shard& aShard) { aShard.resize(aFamilies.size()); });
  }
}

void
MetricRegistry::Add(MetricId aMetric,
                    std::span<const MetricLabel> aLabels,
                    std::uint64_t aCount)
{
  assert(m_families[aMetric].m_kind == MetricKind::Counter);
  std::string labels = LabelText(aLabels);
  CurrentThreadShard().WithLock([&](Shard& aShard) {
    FindOrAddSeries(aShard.at(aMetric).m_counters, std::move(labels)) += aCount;
  });
}

void
MetricRegistry::Observe(MetricId aMetric,
                        std::span<const MetricLabel> aLabels,
                        Duration aLatency)
{
  assert(m_families[aMetric].m_kind == MetricKind::Histogram);
  std::string labels = LabelText(aLabels);
  CurrentThreadShard().WithLock([&](Shard& aShard) {
    FindOrAddSeries(aShard.at(aMetric).m_histograms, std::move(labels))
      .Add(aLatency);
  });
}

std::uint64_t
MetricRegistry::Sum(MetricId aMetric) const
{
  std::uint64_t sum = 0;
  for (const auto& [labels, count] : Total(aMetric).m_counters) {
    sum += count;
  }
  return sum;
}

std::string
MetricRegistry::Write(std::span<const GaugeValue> aGauges) const
{
  std::string text;
  for (MetricId metric = 0; metric < m_families.size(); ++metric) {
    const MetricFamily& family = m_families[metric];
    fmt::format_to(std::back_inserter(text),
                   "# HELP {} {}\n# TYPE {} {}\n",
                   family.m_name,
                   family.m_help,
                   family.m_name,
                   KindName(family.m_kind));
    const Family total = Total(metric);
    for (const auto& [labels, count] : total.m_counters) {
      text += fmt::format("{}{} {}\n", family.m_name, Braced(labels), count);
    }
    for (const auto& [labels, histogram] : total.m_histograms) {
      WriteHistogram(text, family.m_name, labels, histogram);
    }
    for (const GaugeValue& gauge : aGauges) {
      if (gauge.m_metric == metric) {
        text += fmt::format("{}{} {}\n",
                            family.m_name,
                            Braced(LabelText(gauge.m_labels)),
                            gauge.m_value);
      }
    }
  }
  return text;
}

Guarded<MetricRegistry::Shard>&
MetricRegistry::CurrentThreadShard()
{
  return m_shards.at(std::hash<std::thread::id>{}(std::this_thread::get_id()) %
                     kShardCount);
}

MetricRegistry::Family
MetricRegistry::Total(MetricId aMetric) const
{
  Family total;
  for (const auto& shard : m_shards) {
    shard.WithLock([&](const Shard& aShard) {
      for (const auto& [labels, count] : aShard.at(aMetric).m_counters) {
        total.m_counters[labels] += count;
      }
      for (const auto& [labels, histogram] : aShard.at(aMetric).m_histograms) {
        total.m_histograms[labels].Merge(histogram);
      }
    });
  }
  return total;
}

}
