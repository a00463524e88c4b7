#pragma once

#include <functional>
#include <span>

#include "cr_transport/cr_transport.h"

namespace cr {

/** Called with the number of a request, from 0, and its result. A request that
    was sent behind a response which closes the connection has failed with
    m_sent = false: it has not run and never will. */
using PipelineCallback = std::function<void(std::size_t, const HttpResult&)>;

/** Opens a connection, sends all requests at once and reads the responses,
   which must have a Content-Length. Calls back once for each request, in their
   order, on one of the threads, which must outlive the connection. What is not
   answered within the time has failed with m_timedOut. Thread safe. */
void
SendPipelined(IoThreads& aThreads,
              const Endpoint& aEndpoint,
              std::span<const HttpRequest> aRequests,
              Duration aTimeout,
              PipelineCallback aCallback);

}
