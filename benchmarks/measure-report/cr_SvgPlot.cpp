#include "cr_SvgPlot.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <fmt/format.h>

namespace cr {

namespace {

constexpr double kWidth = 760;
constexpr double kHeight = 220;
constexpr double kLeft = 60;
constexpr double kTop = 28;
constexpr double kBarHeight = 22;
constexpr double kLabelWidth = 300;
constexpr std::array<std::string_view, 6> kColours = { "#1565c0", "#c62828",
                                                       "#2e7d32", "#6a1b9a",
                                                       "#ef6c00", "#455a64" };

std::string_view
ColourOf(std::size_t aIndex)
{
  return kColours.at(aIndex % kColours.size());
}

struct Scale
{
  double m_seconds = 1;
  double m_maxValue = 1;

  double X(double aSeconds) const
  {
    return kLeft + (kWidth - kLeft) * std::min(aSeconds / m_seconds, 1.0);
  }
  double Y(double aValue) const
  {
    return kHeight - (kHeight - kTop) * aValue / m_maxValue;
  }
};

Scale
ComputeScale(const LinePlot& aPlot)
{
  Scale scale;
  for (const PlotSeries& series : aPlot.m_series) {
    scale.m_seconds =
      std::max(scale.m_seconds,
               static_cast<double>(series.m_values.size()) * aPlot.m_step);
    for (const double value : series.m_values) {
      scale.m_maxValue = std::max(scale.m_maxValue, value);
    }
  }
  return scale;
}

std::string
DrawSpan(const PlotSpan& aSpan, const Scale& aScale)
{
  const double left = aScale.X(aSpan.m_begin);
  return fmt::format("<rect x='{:.1f}' y='{}' width='{:.1f}' height='{}' "
                     "fill='#ffe082' opacity='0.5'><title>{}</title></rect>\n",
                     left,
                     kTop,
                     aScale.X(aSpan.m_end) - left,
                     kHeight - kTop,
                     EscapeHtml(aSpan.m_name));
}

std::string
DrawSeries(const PlotSeries& aSeries,
           std::size_t aIndex,
           double aStep,
           const Scale& aScale)
{
  std::string points;
  for (std::size_t index = 0; index < aSeries.m_values.size(); ++index) {
    points += fmt::format("{:.1f},{:.1f} ",
                          aScale.X(static_cast<double>(index) * aStep),
                          aScale.Y(aSeries.m_values.at(index)));
  }
  return fmt::format(
    "<polyline points='{}' fill='none' stroke='{}' stroke-width='1.5'/>\n"
    "<text x='{}' y='{}' fill='{}'>{}</text>\n",
    points,
    ColourOf(aIndex),
    kWidth + 8,
    kTop + 16 * static_cast<double>(aIndex + 1),
    ColourOf(aIndex),
    EscapeHtml(aSeries.m_name));
}

}

std::string
EscapeHtml(const std::string& aText)
{
  std::string escaped;
  for (const char character : aText) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '\'':
        escaped += "&#39;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

std::string
DrawLines(const LinePlot& aPlot)
{
  const Scale scale = ComputeScale(aPlot);
  std::string svg = fmt::format(
    "<svg width='{}' height='{}' font-family='sans-serif' font-size='12'>\n"
    "<text x='{}' y='16' font-size='14'>{}</text>\n"
    "<text x='0' y='{}'>{:.0f} {}</text><text x='0' y='{}'>0</text>\n"
    "<text x='{}' y='{}'>{:.0f} s</text>\n",
    kWidth + 200,
    kHeight + 20,
    kLeft,
    EscapeHtml(aPlot.m_title),
    kTop + 6,
    scale.m_maxValue,
    EscapeHtml(aPlot.m_unit),
    kHeight,
    kWidth - 24,
    kHeight + 14,
    scale.m_seconds);
  for (const PlotSpan& span : aPlot.m_spans) {
    svg += DrawSpan(span, scale);
  }
  for (std::size_t index = 0; index < aPlot.m_series.size(); ++index) {
    svg += DrawSeries(aPlot.m_series.at(index), index, aPlot.m_step, scale);
  }
  return svg + "</svg>\n";
}

std::string
DrawBars(const std::string& aTitle, const std::vector<PlotBar>& aBars)
{
  double maxValue = 0;
  for (const PlotBar& bar : aBars) {
    maxValue = std::max(maxValue, bar.m_value);
  }
  std::string svg = fmt::format(
    "<svg width='{}' height='{:.0f}' font-family='sans-serif' "
    "font-size='12'>\n<text x='0' y='16' font-size='14'>{}</text>\n",
    kWidth + 200,
    kTop + kBarHeight * static_cast<double>(aBars.size()) + 4,
    EscapeHtml(aTitle));
  double top = kTop;
  for (const PlotBar& bar : aBars) {
    const double share = maxValue > 0 ? bar.m_value / maxValue : 0;
    const std::string_view colour =
      bar.m_name.find("naive") != std::string::npos ? kColours[1] : kColours[0];
    svg += fmt::format(
      "<text x='0' y='{:.0f}'>{}</text><rect x='{}' y='{:.0f}' "
      "width='{:.1f}' height='{}' fill='{}'/><text x='{:.1f}' "
      "y='{:.0f}'>{:.2f}</text>\n",
      top + 14,
      EscapeHtml(bar.m_name),
      kLabelWidth,
      top,
      std::max(share, 0.0) * (kWidth - kLabelWidth),
      kBarHeight - 4,
      colour,
      kLabelWidth + 6 + std::max(share, 0.0) * (kWidth - kLabelWidth),
      top + 14,
      bar.m_value);
    top += kBarHeight;
  }
  return svg + "</svg>\n";
}

}
