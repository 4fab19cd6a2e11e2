#include "gateway/run_loop.h"

#include "observe/log.h"

#include <exception>

namespace carawaypoint
{

void runLoop(boost::asio::io_context &io, std::string_view name)
{
    while (true) {
        try {
            io.run();
            return;
        } catch (const std::exception &error) {
            logLine(LogLevel::Error, "unexpected error in a handler", {{"thread", name}, {"error", error.what()}});
        }
    }
}

}
