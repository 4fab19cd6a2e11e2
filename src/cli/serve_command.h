#pragma once

#include "cli/command_line.h"

namespace carawaypoint
{

/// `serve`: runs an entry daemon.
void declareServe(CLI::App &app, CommandAction &action);

}
