#pragma once

/** Reads JSON settings with comments into structs, and reports each problem
    with its file, line and column.

    The module does no I/O: the caller reads the file and passes its text. */

#include "cr_settings/json/cr_JsonDecode.h"
#include "cr_settings/json/cr_JsonDocument.h"
#include "cr_settings/json/cr_ObjectReader.h"
#include "cr_settings/node/cr_NodeSettings.h"
