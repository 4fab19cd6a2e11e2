#pragma once

#include "cli/command_line.h"

namespace carawaypoint
{

/// `gateway`: runs a gateway on the users' platform.
void declareGateway(CLI::App &app, CommandAction &action);

}
