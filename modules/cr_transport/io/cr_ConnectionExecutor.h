#pragma once

#include <boost/asio/any_io_executor.hpp>

#include "cr_transport/io/cr_IoThreads.h"

namespace cr {

/** Returns an executor for the handlers of one connection or timer, which never
    run concurrently. A single I/O thread needs no strand for that; a strand
    costs an allocation and several locks for each handler. Thread safe. */
boost::asio::any_io_executor
MakeConnectionExecutor(IoThreads& aThreads);

}
