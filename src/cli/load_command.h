#pragma once

#include "cli/command_line.h"

namespace carawaypoint
{

/// `load`: sends a seeded workload and checks the answers.
void declareLoad(CLI::App &app, CommandAction &action);

}
