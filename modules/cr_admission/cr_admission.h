#pragma once

/** Decides which calls a backend server gets, in which order, and which are
    refused. Pure: time comes in, decisions go out.

    @see Gate, LevelTable, AttemptMemory; SlotQueue, OfferedLoad, AdmittedShare,
    InFlightBound, CallPattern */

#include "cr_admission/gate/cr_Gate.h"
#include "cr_admission/level/cr_LevelTable.h"
#include "cr_admission/outcome/cr_AttemptMemory.h"
#include "cr_admission/share/cr_AdmittedShare.h"
#include "cr_admission/share/cr_CallPattern.h"
#include "cr_admission/share/cr_InFlightBound.h"
#include "cr_admission/share/cr_OfferedLoad.h"
#include "cr_admission/slots/cr_SlotQueue.h"
