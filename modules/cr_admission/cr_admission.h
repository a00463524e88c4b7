#pragma once

/** Decides which calls a backend server gets, in which order, and which are
    refused. Pure: time comes in, decisions go out.

    @see Gate, LevelTable, AttemptMemory */

#include "cr_admission/gate/cr_Gate.h"
#include "cr_admission/level/cr_LevelTable.h"
#include "cr_admission/outcome/cr_AttemptMemory.h"
