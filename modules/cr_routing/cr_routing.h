#pragma once

/** Chooses the host for an attempt. No I/O and no clock. */

#include "cr_routing/health/cr_HostHealth.h"
#include "cr_routing/router/cr_Router.h"
#include "cr_routing/subset/cr_Subset.h"
