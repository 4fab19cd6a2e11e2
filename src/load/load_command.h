#pragma once

namespace CLI
{
class App;
}

namespace carawaypoint
{

/// Adds the subcommand `load` to @p app. Its exit code (0: every answer whole and right, 1 otherwise) goes to @p exitCode.
void addLoadCommand(CLI::App &app, int &exitCode);

}
