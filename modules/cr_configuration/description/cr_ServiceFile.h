#pragma once

#include <string_view>

#include "cr_configuration/description/cr_Configuration.h"
#include "cr_settings/cr_settings.h"

namespace cr {

/** Parses one service file. Adds a finding with its location for each problem;
    the result is valid only if no finding was added. Thread safe. */
ServiceDescription
ParseServiceFile(std::string_view aFile,
                 std::string_view aText,
                 Findings& aFindings);

}
