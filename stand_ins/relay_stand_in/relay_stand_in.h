#pragma once

/** A relay for tests that loses track of connections. */

#include "relay_stand_in/relay/cr_FreezingRelay.h"
