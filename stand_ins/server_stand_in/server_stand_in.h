#pragma once

/** A stand-in for a backend server: it announces itself to its node, runs the
    operations of a service file, makes the calls that the file names through
    its node, and records what it ran. */

#include "server_stand_in/server/cr_BackendServer.h"
#include "server_stand_in/server/cr_ExpectedAnswer.h"
