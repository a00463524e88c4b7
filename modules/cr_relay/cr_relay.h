#pragma once

/** The decision logic of a node that forwards HTTP requests unchanged. Requests
    are classified by route instead of by operation, and carry neither an
    attempt budget nor an idempotency key from node to node.

    The module does no I/O: it consumes typed events and returns typed actions.

    @see RelayDecisions, RelayEvent, RelayAction */

#include "cr_relay/decisions/cr_RelayDecisions.h"
#include "cr_relay/event/cr_RelayAction.h"
#include "cr_relay/event/cr_RelayEvent.h"
