#pragma once

/** Clients that misbehave in numbers, and an observer of the process that they
    connect to. */

#include "crowd_stand_in/crowd/cr_Crowd.h"
#include "crowd_stand_in/crowd/cr_CrowdClient.h"
#include "crowd_stand_in/process/cr_ProcessObserver.h"
