#pragma once

/** Requests that servers died of: who is suspected and who is refused. Pure. */

#include "cr_suspects/lane/cr_SuspectLane.h"
#include "cr_suspects/suspects/cr_SuspectTable.h"
