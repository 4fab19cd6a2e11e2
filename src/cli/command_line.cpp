#include "cli/command_line.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <exception>
#include <iostream>

namespace carawaypoint
{

int runCommandLine(int argc, char **argv)
{
    return runCommandLine(std::vector<std::string>(argv + std::min(argc, 1), argv + argc), std::cout, std::cerr);
}

int runCommandLine(std::vector<std::string> arguments, std::ostream &out, std::ostream &err)
{
    CLI::App app("Serves language models whose replicas span several VMs.", "carawaypoint");
    app.require_subcommand(1);
    app.footer("Exit codes: 0 done, 1 failed, 2 wrong usage, 3 no daemon reachable, 4 conflict with another operator, 5 timed out.\n"
               "Every subcommand has --help. Documentation: docs/OPERATIONS.md, docs/settings.md, docs/glossary.md.");
    CommandAction action;
    const auto subcommands = subcommandTable();
    for (const auto &subcommand : subcommands) {
        subcommand.declare(app, action);
    }
    if (!arguments.empty() && !arguments.front().starts_with('-')
        && std::none_of(subcommands.begin(), subcommands.end(), [&](const Subcommand &known) { return arguments.front() == known.name; })) {
        err << "carawaypoint: unknown subcommand " << arguments.front() << "; carawaypoint --help lists them\n";
        return static_cast<int>(ExitCode::Usage);
    }
    std::reverse(arguments.begin(), arguments.end()); // CLI11 expects the arguments in reverse order
    try {
        app.parse(std::move(arguments));
    } catch (const CLI::ParseError &error) {
        return app.exit(error, out, err) == 0 ? 0 : static_cast<int>(ExitCode::Usage);
    }
    try {
        return static_cast<int>(action({out, err}));
    } catch (const std::exception &error) {
        err << "carawaypoint: " << error.what() << "\n";
        return static_cast<int>(ExitCode::Failed);
    }
}

}
