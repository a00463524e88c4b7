#pragma once

/** Decides which calls are dispatched to a backend server, in which order, and
    which are refused. No I/O and no clock: callers pass the time and execute
    the returned decisions.

    @see Gate, LevelTable, AttemptHistory; SlotQueue, RateLimit, OfferedLoad,
    AdmittedShare, BottleneckShares, ReturningFirst, InFlightBound,
    CallPattern */

#include "cr_admission/gate/cr_Gate.h"
#include "cr_admission/level/cr_LevelTable.h"
#include "cr_admission/outcome/cr_AttemptHistory.h"
#include "cr_admission/share/cr_AdmittedShare.h"
#include "cr_admission/share/cr_BottleneckShares.h"
#include "cr_admission/share/cr_CallPattern.h"
#include "cr_admission/share/cr_InFlightBound.h"
#include "cr_admission/share/cr_OfferedLoad.h"
#include "cr_admission/share/cr_ReturningFirst.h"
#include "cr_admission/slots/cr_RateLimit.h"
#include "cr_admission/slots/cr_SlotQueue.h"
