#pragma once

/** The decisions of a node that passes HTTP requests on unchanged: by route
    instead of by operation, without a total of attempts or a key that travels.
    Pure: typed events come in, typed actions go out.

    @see RelayDecisions, RelayEvent, RelayAction */

#include "cr_relay/decisions/cr_RelayDecisions.h"
#include "cr_relay/event/cr_RelayAction.h"
#include "cr_relay/event/cr_RelayEvent.h"
