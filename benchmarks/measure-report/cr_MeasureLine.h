#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cr {

/** An output line `name value unit target pass|fail` of a measuring program. */
struct MeasureLine
{
  std::string m_name;
  double m_value = 0;
  std::string m_unit;
  std::string m_target;
  bool m_pass = false;
};

/** Parses all lines that are measures and skips other lines. Thread safe. */
std::vector<MeasureLine>
ParseMeasureLines(std::string_view aText);

/** Returns the measures as a JSON list. Thread safe. */
std::string
WriteMeasureLines(const std::vector<MeasureLine>& aLines);

}
