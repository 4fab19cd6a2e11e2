#pragma once

#include <functional>
#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace CLI // NOLINT(readability-identifier-naming): the name that the library has
{
class App;
}

namespace carawaypoint
{

/// Exit codes of all subcommands, documented in docs/OPERATIONS.md.
enum class ExitCode : int {
    Done = 0,
    Failed = 1, // a file is invalid, a request was refused, or an alarm is active
    Usage = 2,
    Unreachable = 3, // no daemon answered
    Conflict = 4, // another operator has changed the configuration
    TimedOut = 5, // the change was accepted, but some daemon did not put it in force in time
};

/// Output streams of a subcommand.
struct CommandContext {
    std::ostream &out;
    std::ostream &err;
};

/// Implementation of a subcommand, called after the command line was parsed without an error.
using CommandAction = std::function<ExitCode(const CommandContext &)>;

/// A subcommand. declare() adds it with its options to the application and sets the action in its callback:
///
///     auto options = std::make_shared<Options>();
///     auto *command = app.add_subcommand("name", "what it does");
///     command->callback([&action, options] { action = [options](const CommandContext &context) { return run(*options, context); }; });
struct Subcommand {
    const char *name;
    void (*declare)(CLI::App &app, CommandAction &action);
};

/// All subcommands, in the order of the help text. The table is in src/cli/subcommands.cpp.
std::span<const Subcommand> subcommandTable();

/// Runs the subcommand that the arguments name, with the standard streams, and returns the exit code.
int runCommandLine(int argc, char **argv);

/// As above, with the arguments that follow the program's name and with the given streams.
int runCommandLine(std::vector<std::string> arguments, std::ostream &out, std::ostream &err);

}
