// Compiles the sources of Asio and Beast once for all packages.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
