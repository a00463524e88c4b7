#pragma once

#include <string_view>

#include "cr_configuration/description/cr_Configuration.h"
#include "cr_settings/cr_settings.h"

namespace cr {

/** Reads one service file. Every fault is added to the findings with its place;
    the result is only usable when there are none. Thread safe. */
ServiceDescription
ParseServiceFile(std::string_view aFile,
                 std::string_view aText,
                 Findings& aFindings);

}
