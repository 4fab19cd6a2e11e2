#pragma once

#include <boost/asio/io_context.hpp>

#include <string_view>

namespace carawaypoint
{

/// Runs @p io until it is stopped or has no more work. An exception ends only the handler that threw it: it is logged with @p name, and the
/// loop continues, since the process also serves everything else.
void runLoop(boost::asio::io_context &io, std::string_view name);

}
