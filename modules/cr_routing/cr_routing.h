#pragma once

/** Chooses the host that gets an attempt. Pure. */

#include "cr_routing/health/cr_HostHealth.h"
#include "cr_routing/router/cr_Router.h"
#include "cr_routing/subset/cr_Subset.h"
