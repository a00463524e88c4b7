#pragma once

/** The shell of a relaying node: sockets, timers, log and metrics around
    RelayDecisions. What it speaks to customers, to the backend server and to
    the platform is given to it as a dialect.

    @see RelayServer, RelayDialect */

#include "cr_relay_server/dialect/cr_RelayDialect.h"
#include "cr_relay_server/report/cr_RelayLog.h"
#include "cr_relay_server/server/cr_RelayServer.h"
