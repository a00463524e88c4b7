#pragma once

/** Parses service files, validates them together, and publishes the resulting
    configuration through the platform. */

#include "cr_configuration/description/cr_Configuration.h"
#include "cr_configuration/description/cr_ConfigurationCheck.h"
#include "cr_configuration/description/cr_ServiceFile.h"
#include "cr_configuration/publish/cr_ConfigurationRows.h"
#include "cr_configuration/publish/cr_Publisher.h"
