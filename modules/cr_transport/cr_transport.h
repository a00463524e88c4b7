#pragma once

/** Sockets: threads that run connections and timers, an HTTP server, an HTTP
    client with pooled connections, and the HTTP way to the platform.

    The only module that includes Boost.Beast; its headers don't. */

#include "cr_transport/http/cr_HttpClient.h"
#include "cr_transport/http/cr_HttpMessage.h"
#include "cr_transport/http/cr_HttpServer.h"
#include "cr_transport/http/cr_StoreConnection.h"
#include "cr_transport/io/cr_Cancellation.h"
#include "cr_transport/io/cr_IoThreads.h"
