#include "cli/serve_command.h"

#include "config/process_settings.h"
#include "daemon/daemon.h"
#include "observe/log.h"

#include <CLI/CLI.hpp>

#include <memory>
#include <ostream>

namespace carawaypoint
{

namespace
{

struct ServeOptions {
    std::string file;
    std::vector<std::string> overrides;
};

ExitCode runServe(const ServeOptions &options, const CommandContext &context)
{
    const auto result = loadProcessSettings(options.file, options.overrides);
    for (const auto &error : result.errors) {
        context.err << error.toString() << "\n";
    }
    if (!result.errors.empty()) {
        return ExitCode::Failed;
    }
    startLog(result.settings.id.str(), parseLogLevel(result.settings.logLevel), result.settings.logFile);
    return Daemon(result.settings).run() == 0 ? ExitCode::Done : ExitCode::Failed;
}

}

void declareServe(CLI::App &app, CommandAction &action)
{
    auto options = std::make_shared<ServeOptions>();
    auto *command = app.add_subcommand("serve", "Run an entry daemon");
    command->footer("SIGTERM starts a graceful shutdown: /readyz fails, requests in progress end normally, then the process exits.\n"
                    "Exit codes: 0 stopped gracefully, 1 invalid settings or an address that cannot be used, 2 wrong usage.");
    command->add_option("--settings", options->file, "INI file of this process")->required();
    command->add_option("--set", options->overrides, "section.key=value, replaces the value of the file");
    command->callback([&action, options] {
        action = [options](const CommandContext &context) {
            return runServe(*options, context);
        };
    });
}

}
