#pragma once

#include <string>
#include <vector>

#include <json/json.h>

#include "cr_MeasureLine.h"

namespace cr {

/** Returns the report as an HTML page: a table of all measures, a comparison of
    the full and the naive policy, and plots of each run. aRuns are results of
    corianderrack-load. Thread safe. */
std::string
WriteHtmlReport(const std::vector<MeasureLine>& aLines,
                const std::vector<Json::Value>& aRuns);

}
