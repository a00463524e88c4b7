#pragma once

/** A stand-in for the platform: the in-process platform behind HTTP, with
    outages, slowness and lost answers that can be switched on. */

#include "platform_stand_in/server/cr_PlatformServer.h"
