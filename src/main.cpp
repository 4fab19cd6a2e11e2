#include "daemon/daemon.h"
#include "load/load_command.h"
#include "observe/log.h"

#include <CLI/CLI.hpp>

#include <iostream>

int main(int argc, char **argv)
{
    CLI::App app{"carawaypoint"};
    app.require_subcommand(1);
    std::string file;
    int exitCode = 0;
    auto *serve = app.add_subcommand("serve", "Run an entry daemon");
    serve->add_option("--settings", file, "INI file of this process")->required();
    serve->callback([&] {
        const auto result = carawaypoint::loadProcessSettings(file);
        for (const auto &fault : result.faults) {
            std::cerr << fault.toString() << '\n';
        }
        if (!result.faults.empty()) {
            exitCode = 2;
            return;
        }
        carawaypoint::startLog("serve", carawaypoint::LogLevel::Info, result.settings.logFile);
        exitCode = carawaypoint::Daemon(result.settings).run();
    });
    carawaypoint::addLoadCommand(app, exitCode);
    CLI11_PARSE(app, argc, argv);
    return exitCode;
}
