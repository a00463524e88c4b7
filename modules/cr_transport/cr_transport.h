#pragma once

/** Network transport: I/O threads for connections and timers, an HTTP server,
   an HTTP client with a connection pool, and a store client for the platform.

    This is the only module that uses Boost.Beast; its headers do not include
    it. */

#include "cr_transport/http/cr_HttpClient.h"
#include "cr_transport/http/cr_HttpMessage.h"
#include "cr_transport/http/cr_HttpServer.h"
#include "cr_transport/http/cr_StoreConnection.h"
#include "cr_transport/io/cr_Cancellation.h"
#include "cr_transport/io/cr_EventLoopProbe.h"
#include "cr_transport/io/cr_IoThreads.h"
#include "cr_transport/memory/cr_HeapSettings.h"
#include "cr_transport/memory/cr_MemoryAccount.h"
