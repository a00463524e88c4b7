#pragma once

#include <string>
#include <vector>

#include "cr_LoadRun.h"

namespace cr {

/** A measured value with its target. */
struct Measure
{
  std::string m_name;
  double m_value = 0;
  std::string m_unit;
  /** `>=` or `<=` followed by the bound, without spaces. */
  std::string m_target;
  bool m_pass = false;
};

/** Returns `name value unit target pass|fail`. Thread safe. */
std::string
ToText(const Measure& aMeasure);

/** Computes the measures that the scenario lists. An unknown name gives a
    failed measure. Thread safe. */
std::vector<Measure>
ComputeMeasures(const Scenario& aScenario,
                const Configuration& aConfiguration,
                const LoadResult& aResult);

/** Returns a text table of the results by operation. Thread safe. */
std::string
WriteTable(const LoadResult& aResult);

/** Returns the time series, totals and measures as JSON. Thread safe. */
std::string
WriteResult(const Scenario& aScenario,
            const LoadResult& aResult,
            std::span<const Measure> aMeasures);

}
