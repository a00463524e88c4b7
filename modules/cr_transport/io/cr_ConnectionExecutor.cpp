#include "cr_transport/io/cr_ConnectionExecutor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

namespace cr {

boost::asio::any_io_executor
MakeConnectionExecutor(IoThreads& aThreads)
{
  if (aThreads.IsSingleThreaded()) {
    return aThreads.Context().get_executor();
  }
  return boost::asio::make_strand(aThreads.Context());
}

}
