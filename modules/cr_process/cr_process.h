#pragma once

/** The network shell of a node: it translates between sockets and the node's
    decisions, and decides nothing itself.

    @see NodeServer, NodeDecisions */

#include "cr_process/report/cr_Log.h"
#include "cr_process/report/cr_NodeMetrics.h"
#include "cr_process/report/cr_OperatorReport.h"
#include "cr_process/report/cr_StatusReport.h"
#include "cr_process/server/cr_NodeServer.h"
#include "cr_process/wire/cr_CallWire.h"
#include "cr_process/wire/cr_RumourWire.h"
