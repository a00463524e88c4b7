#pragma once

/** Routes of requests that the relay forwards unchanged: the service that a
   host name and a path map to, and the settings for these requests.

    Uses no sockets, clocks or threads.
    @see RouteConfiguration, RouteTable, ServiceRotation, RouteHolder,
    RouteOrigins */

#include "cr_routes/origin/cr_RouteOrigins.h"
#include "cr_routes/table/cr_RouteConfiguration.h"
#include "cr_routes/table/cr_RouteHolder.h"
#include "cr_routes/table/cr_RouteTable.h"
#include "cr_routes/table/cr_ServiceRotation.h"
