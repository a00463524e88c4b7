#pragma once

/** Chooses the host that gets an attempt. Pure. */

#include "cr_routing/router/cr_Router.h"
