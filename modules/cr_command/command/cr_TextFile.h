#pragma once

#include <string>

#include "cr_core/cr_core.h"
#include "cr_settings/cr_settings.h"

namespace cr {

/** Reads a whole file of at most 4 MiB. Thread safe. */
Expected<std::string>
ReadTextFile(const std::string& aPath);

/** Parses `address:port`, as given on a command line. Thread safe. */
Expected<Endpoint>
ParseEndpointText(const std::string& aText);

}
