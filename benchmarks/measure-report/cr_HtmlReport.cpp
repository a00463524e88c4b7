#include "cr_HtmlReport.h"

#include <algorithm>

#include <fmt/format.h>

#include "cr_SvgPlot.h"

namespace cr {

namespace {

constexpr double kMillisecondsPerSecond = 1000;
constexpr std::string_view kNaive = "naive";
constexpr std::string_view kFull = "full";

std::string
WriteTable(const std::vector<MeasureLine>& aLines)
{
  std::string table = "<table><tr><th>measure</th><th>value</th><th>unit</th>"
                      "<th>target</th><th>verdict</th></tr>\n";
  for (const MeasureLine& line : aLines) {
    const std::string resultText = line.m_pass ? "pass" : "fail";
    table += fmt::format("<tr class='{}'><td>{}</td><td>{:.2f}</td><td>{}</td>"
                         "<td>{}</td><td>{}</td></tr>\n",
                         resultText,
                         EscapeHtml(line.m_name),
                         line.m_value,
                         EscapeHtml(line.m_unit),
                         EscapeHtml(line.m_target),
                         resultText);
  }
  return table + "</table>\n";
}

/* Returns the name of the same measure under the full policy. */
std::string
FullPolicyName(std::string aName)
{
  return aName.replace(aName.find(kNaive), kNaive.size(), kFull);
}

std::string
DrawPolicyComparison(const std::vector<MeasureLine>& aLines)
{
  std::string plots;
  for (const MeasureLine& naive : aLines) {
    if (naive.m_name.find(kNaive) == std::string::npos) {
      continue;
    }
    const std::string name = FullPolicyName(naive.m_name);
    const auto full =
      std::find_if(aLines.begin(), aLines.end(), [&](const MeasureLine& aLine) {
        return aLine.m_name == name;
      });
    if (full != aLines.end()) {
      plots +=
        DrawBars(fmt::format("{} ({})", name, naive.m_unit),
                 { { "ours", full->m_value }, { "naive", naive.m_value } });
    }
  }
  return plots.empty() ? "<p>No experiment printed a naive version.</p>\n"
                       : plots;
}

std::vector<PlotSpan>
TriggerSpans(const Json::Value& aRun)
{
  std::vector<PlotSpan> spans;
  for (const Json::Value& trigger : aRun["triggers"]) {
    spans.push_back({ trigger["kind"].asString(),
                      trigger["start_ms"].asDouble() / kMillisecondsPerSecond,
                      trigger["end_ms"].asDouble() / kMillisecondsPerSecond });
  }
  return spans;
}

std::string
DrawGoodput(const Json::Value& aRun)
{
  LinePlot plot;
  plot.m_title = aRun["name"].asString() + ": goodput by operation";
  plot.m_unit = "/s";
  plot.m_step = aRun["slice_ms"].asDouble() / kMillisecondsPerSecond;
  plot.m_spans = TriggerSpans(aRun);
  const auto slices = static_cast<std::size_t>(aRun["length_ms"].asDouble() /
                                               aRun["slice_ms"].asDouble());
  for (const Json::Value& stream : aRun["streams"]) {
    PlotSeries series{ stream["operation"].asString(), {} };
    for (const Json::Value& count : stream["completed"]) {
      if (series.m_values.size() < slices) {
        series.m_values.push_back(count.asDouble() / plot.m_step);
      }
    }
    plot.m_series.push_back(std::move(series));
  }
  return DrawLines(plot);
}

std::string
DrawLatency(const Json::Value& aRun)
{
  std::vector<PlotBar> bars;
  for (const Json::Value& stream : aRun["streams"]) {
    for (const char* quantile : { "p50_us", "p99_us" }) {
      bars.push_back({ stream["operation"].asString() + ' ' + quantile,
                       stream[quantile].asDouble() });
    }
  }
  return DrawBars(aRun["name"].asString() + ": latency of whole requests",
                  bars);
}

std::string
DrawRecovery(const std::vector<MeasureLine>& aLines)
{
  std::vector<PlotBar> bars;
  for (const MeasureLine& line : aLines) {
    if (line.m_name.find("recovery") != std::string::npos) {
      bars.push_back({ line.m_name + ' ' + line.m_unit, line.m_value });
    }
  }
  return DrawBars("Recovery time", bars);
}

}

std::string
WriteHtmlReport(const std::vector<MeasureLine>& aLines,
                const std::vector<Json::Value>& aRuns)
{
  std::string page =
    "<!doctype html>\n<html lang='en'><head><meta charset='utf-8'>"
    "<title>corianderrack measures</title><style>body{font-family:sans-serif}"
    "td,th{padding:2px 8px;text-align:left}.fail{background:#ffcdd2}"
    "</style></head><body>\n<h1>corianderrack measures</h1>\n";
  page += WriteTable(aLines);
  page += "<h2>Recovery</h2>\n" + DrawRecovery(aLines);
  page +=
    "<h2>Ours and the naive version</h2>\n" + DrawPolicyComparison(aLines);
  page += "<h2>Runs with real processes</h2>\n";
  for (const Json::Value& run : aRuns) {
    page += DrawGoodput(run) + DrawLatency(run);
  }
  return page + "</body></html>\n";
}

}
