#pragma once

#include <string>
#include <vector>

#include "cr_LoadRun.h"

namespace cr {

/** One measure with its target. */
struct Measure
{
  std::string m_name;
  double m_value = 0;
  std::string m_unit;
  /** `>=` or `<=` and the bound, without spaces. */
  std::string m_target;
  bool m_pass = false;
};

/** Returns `name value unit target pass|fail`. Thread safe. */
std::string
ToText(const Measure& aMeasure);

/** Returns the measures that the scenario names. A name that does not exist is
    a failed measure. Thread safe. */
std::vector<Measure>
TakeMeasures(const Scenario& aScenario,
             const Configuration& aConfiguration,
             const LoadResult& aResult);

/** Returns a table of how each operation fared. Thread safe. */
std::string
WriteTable(const LoadResult& aResult);

/** Returns the time series, totals and measures as JSON. Thread safe. */
std::string
WriteResult(const Scenario& aScenario,
            const LoadResult& aResult,
            std::span<const Measure> aMeasures);

}
