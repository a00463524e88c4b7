#pragma once

#include <span>
#include <vector>

#include "cr_configuration/description/cr_Configuration.h"

namespace cr {

/** Checks service descriptions together and builds the configuration: unknown
    calls, cycles, attempts too few for the first tries, and callers that wait
    less than the calls below them take. Every fault is added to the findings
    with its place; the result is only usable when there are none.

    Thread safe. @see ParseServiceFile */
Configuration
BuildConfiguration(Generation aGeneration,
                   std::span<const ServiceDescription> aServices,
                   Findings& aFindings);

}
