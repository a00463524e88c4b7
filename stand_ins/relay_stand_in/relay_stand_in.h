#pragma once

/** A TCP relay for tests that can silently drop the traffic of connections. */

#include "relay_stand_in/relay/cr_FreezingRelay.h"
