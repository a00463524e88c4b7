#pragma once

#include <string>
#include <vector>

namespace cr {

/** One line of a plot: values at equal intervals, starting at 0. */
struct PlotSeries
{
  std::string m_name;
  std::vector<double> m_values;
};

/** A highlighted interval of the horizontal axis, in seconds. */
struct PlotSpan
{
  std::string m_name;
  double m_begin = 0;
  double m_end = 0;
};

/** Content of a line plot. */
struct LinePlot
{
  std::string m_title;
  std::string m_unit;
  /** Seconds between two values. */
  double m_step = 1;
  std::vector<PlotSeries> m_series;
  std::vector<PlotSpan> m_spans;
};

/** One bar of a bar plot. */
struct PlotBar
{
  std::string m_name;
  double m_value = 0;
};

/** Escapes the characters that are reserved in HTML. Thread safe. */
std::string
EscapeHtml(const std::string& aText);

/** Draws a line plot as an inline SVG element. Thread safe. */
std::string
DrawLines(const LinePlot& aPlot);

/** Draws horizontal bars as an inline SVG element. Thread safe. */
std::string
DrawBars(const std::string& aTitle, const std::vector<PlotBar>& aBars);

}
