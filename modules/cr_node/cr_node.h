#pragma once

/** All decisions of one node, composed: typed events and the time come in,
    typed actions go out. No socket, no clock, no thread.

    @see NodeDecisions, Event, Action */

#include "cr_node/decisions/cr_NodeDecisions.h"
#include "cr_node/event/cr_Action.h"
#include "cr_node/event/cr_Event.h"
#include "cr_node/event/cr_NodeIdentity.h"
