#pragma once

/** Requests that crash backend servers: decides which are suspects and which
   are refused. No I/O and no clock. */

#include "cr_suspects/crash/cr_CrashDetector.h"
#include "cr_suspects/key/cr_RequestKey.h"
#include "cr_suspects/lane/cr_SuspectQueue.h"
#include "cr_suspects/suspects/cr_SuspectTable.h"
