#include "cli/command_line.h"
#include "cli/config_commands.h"
#include "cli/fleet_commands.h"
#include "cli/gateway_command.h"
#include "cli/load_command.h"
#include "cli/serve_command.h"

namespace carawaypoint
{

namespace
{

constexpr Subcommand Subcommands[] = {
    {"serve", declareServe},   {"gateway", declareGateway}, {"config", declareConfig}, {"status", declareStatus},
    {"alarms", declareAlarms}, {"explain", declareExplain}, {"drain", declareDrain},   {"load", declareLoad},
};

}

std::span<const Subcommand> subcommandTable()
{
    return Subcommands;
}

}
