#pragma once

#include <string>
#include <vector>

#include <json/json.h>

#include "cr_MeasureLine.h"

namespace cr {

/** Writes the report: a table of all measures, measures of the naive version
    beside ours, and plots of each run. Runs are results of corianderrack-load.
    Thread safe. */
std::string
WriteHtmlReport(const std::vector<MeasureLine>& aLines,
                const std::vector<Json::Value>& aRuns);

}
