#pragma once

#include "cli/command_line.h"

namespace carawaypoint
{

/// `load`: sends a seeded workload to entry daemons and checks the answers.
void declareLoad(CLI::App &app, CommandAction &action);

}
