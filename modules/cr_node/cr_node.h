#pragma once

/** The decision logic of a node: takes typed events and the current time, and
    returns typed actions. It uses no sockets, clocks or threads.

    @see NodeDecisions, Event, Action */

#include "cr_node/decisions/cr_NodeDecisions.h"
#include "cr_node/event/cr_Action.h"
#include "cr_node/event/cr_Event.h"
#include "cr_node/event/cr_NodeIdentity.h"
