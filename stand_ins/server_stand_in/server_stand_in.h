#pragma once

/** Simulated backend server, for tests. It announces itself to its node, runs
    the operations of a service file, sends the child calls that the file lists
    through its node, and counts its runs. */

#include "server_stand_in/server/cr_BackendServer.h"
#include "server_stand_in/server/cr_ExpectedAnswer.h"
