#pragma once

/** Command line parsing for the programs, based on popt, and reading of text
    files given on the command line. */

#include "cr_command/command/cr_CommandLine.h"
#include "cr_command/command/cr_TextFile.h"
