// The separately compiled parts of Asio and Beast, built once for all packages.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
