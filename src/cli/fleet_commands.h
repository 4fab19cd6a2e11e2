#pragma once

#include "cli/command_line.h"

namespace carawaypoint
{

/// `status`: replicas, VMs, zones, daemons and stranded accelerators.
void declareStatus(CLI::App &app, CommandAction &action);

/// `alarms`: active and recent alarms.
void declareAlarms(CLI::App &app, CommandAction &action);

/// `explain`: decision records about a request, replica or VM.
void declareExplain(CLI::App &app, CommandAction &action);

/// `drain`: starts the planned stop of a daemon or a backend server.
void declareDrain(CLI::App &app, CommandAction &action);

}
