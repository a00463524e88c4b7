#pragma once

/** Command lines of the programs, by popt, and reading of the files that they
    name. */

#include "cr_command/command/cr_CommandLine.h"
#include "cr_command/command/cr_TextFile.h"
