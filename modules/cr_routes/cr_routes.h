#pragma once

/** Routes of requests that the product passes on unchanged: which service a
    host name and a path lead to, and what the operator wants of the requests.

    Nothing here opens a socket, reads a clock or starts a thread.
    @see RouteConfiguration, RouteTable, ServiceRotation, RouteHolder,
    RouteOrigins */

#include "cr_routes/origin/cr_RouteOrigins.h"
#include "cr_routes/table/cr_RouteConfiguration.h"
#include "cr_routes/table/cr_RouteHolder.h"
#include "cr_routes/table/cr_RouteTable.h"
#include "cr_routes/table/cr_ServiceRotation.h"
