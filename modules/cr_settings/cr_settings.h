#pragma once

/** Checked settings: JSON with comments is read into aggregates, and every
    finding is reported with its file, line and column.

    Parsing is pure: the caller reads the file. */

#include "cr_settings/json/cr_JsonDecode.h"
#include "cr_settings/json/cr_JsonDocument.h"
#include "cr_settings/json/cr_ObjectReader.h"
#include "cr_settings/node/cr_NodeSettings.h"
