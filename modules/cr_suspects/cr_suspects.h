#pragma once

/** Requests that were running when a backend server died, and for how long they
    are refused. Pure. */

#include "cr_suspects/suspects/cr_SuspectTable.h"
