#pragma once

/** The process around RelayDecisions of a relaying node: sockets, timers, log
    and metrics. A protocol adapter defines how it communicates with customers,
    the backend server and the platform.

    @see RelayServer, RelayProtocolAdapter */

#include "cr_relay_server/protocol/cr_RelayProtocolAdapter.h"
#include "cr_relay_server/report/cr_RelayLog.h"
#include "cr_relay_server/server/cr_RelayServer.h"
