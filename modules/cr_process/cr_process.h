#pragma once

/** Network I/O of a node: translates between HTTP messages and the events and
    actions of NodeDecisions, which makes all decisions.

    @see NodeServer, NodeDecisions */

#include "cr_process/report/cr_Log.h"
#include "cr_process/report/cr_NodeMetrics.h"
#include "cr_process/report/cr_OperatorReport.h"
#include "cr_process/report/cr_StatusReport.h"
#include "cr_process/server/cr_NodeServer.h"
#include "cr_process/wire/cr_CallWire.h"
#include "cr_process/wire/cr_GossipWire.h"
