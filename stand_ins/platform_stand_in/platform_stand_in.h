#pragma once

/** HTTP server around the in-process platform, for tests. Can inject outages,
    refusals, delays and lost answers. */

#include "platform_stand_in/server/cr_PlatformServer.h"
