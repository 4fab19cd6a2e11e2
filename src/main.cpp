#include "cli/command_line.h"
#include "core/signal_hold.h"

#include <string_view>

int main(int argc, char **argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "gateway") {
        carawaypoint::holdSignals();
    }
    return carawaypoint::runCommandLine(argc, argv);
}
