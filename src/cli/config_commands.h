#pragma once

#include "cli/command_line.h"

namespace carawaypoint
{

/// `config check|diff|apply|show|status|reference`.
void declareConfig(CLI::App &app, CommandAction &action);

}
