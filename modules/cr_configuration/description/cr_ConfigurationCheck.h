#pragma once

#include <span>
#include <vector>

#include "cr_configuration/description/cr_Configuration.h"

namespace cr {

/** Validates service descriptions together and builds the configuration. Adds a
    finding with its location for each problem: duplicate services, unknown
    operations, cycles, calls from idempotent to non-idempotent operations,
    callers whose timeout is shorter than that of an operation they call, call
    chains that are too deep, too many services, and attempt budgets that do not
    cover one attempt of each call. The result is valid only if no finding was
    added.

    Thread safe. @see ParseServiceFile */
Configuration
BuildConfiguration(Generation aGeneration,
                   std::span<const ServiceDescription> aServices,
                   Findings& aFindings);

}
