/* Separate compilation of Boost.Asio and Boost.Beast. */
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
