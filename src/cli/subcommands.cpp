#include "cli/command_line.h"
#include "cli/config_commands.h"
#include "cli/fleet_commands.h"

namespace carawaypoint
{

namespace
{

constexpr Subcommand Subcommands[] = {
    {"config", declareConfig}, {"status", declareStatus}, {"alarms", declareAlarms}, {"explain", declareExplain}, {"drain", declareDrain},
};

}

std::span<const Subcommand> subcommandTable()
{
    return Subcommands;
}

}
