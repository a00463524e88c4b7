#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cr {

/** One line `name value unit target pass|fail` of a measuring program. */
struct MeasureLine
{
  std::string m_name;
  double m_value = 0;
  std::string m_unit;
  std::string m_target;
  bool m_pass = false;
};

/** Reads all lines that are measures; other lines are skipped. Thread safe. */
std::vector<MeasureLine>
ParseMeasureLines(std::string_view aText);

/** Writes the measures as JSON. Thread safe. */
std::string
WriteMeasureLines(const std::vector<MeasureLine>& aLines);

}
