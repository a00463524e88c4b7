#include "cr_MeasureLine.h"

#include <sstream>

#include "cr_settings/cr_settings.h"

namespace cr {

std::vector<MeasureLine>
ParseMeasureLines(std::string_view aText)
{
  std::vector<MeasureLine> lines;
  std::istringstream text{ std::string(aText) };
  std::string lineText;
  while (std::getline(text, lineText)) {
    std::istringstream words(lineText);
    MeasureLine line;
    std::string resultText;
    std::string rest;
    words >> line.m_name >> line.m_value >> line.m_unit >> line.m_target >>
      resultText;
    line.m_pass = resultText == "pass";
    const bool isMeasure = line.m_pass || resultText == "fail";
    if (isMeasure && !(words >> rest)) {
      lines.push_back(std::move(line));
    }
  }
  return lines;
}

std::string
WriteMeasureLines(const std::vector<MeasureLine>& aLines)
{
  Json::Value list(Json::arrayValue);
  for (const MeasureLine& line : aLines) {
    Json::Value value(Json::objectValue);
    value["name"] = line.m_name;
    value["value"] = line.m_value;
    value["unit"] = line.m_unit;
    value["target"] = line.m_target;
    value["verdict"] = line.m_pass ? "pass" : "fail";
    list.append(value);
  }
  return WriteJson(list);
}

}
