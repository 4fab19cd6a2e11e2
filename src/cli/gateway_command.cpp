#include "cli/gateway_command.h"

#include "gateway/gateway_daemon.h"
#include "observe/log.h"
#include "platform/platform_adapter.h"

#include <CLI/CLI.hpp>

#include <memory>
#include <ostream>

namespace carawaypoint
{

namespace
{

struct GatewayOptions {
    std::string file;
    std::vector<std::string> overrides;
    bool isCheckOnly = false;
};

ExitCode runGateway(const GatewayOptions &options, const CommandContext &context)
{
    const auto result = loadGatewaySettings(options.file, options.overrides);
    for (const auto &error : result.errors) {
        context.err << error.toString() << "\n";
    }
    if (!result.errors.empty()) {
        return ExitCode::Failed;
    }
    if (options.isCheckOnly) {
        context.out << "settings are valid\n";
        return ExitCode::Done;
    }
    startLog(result.settings.id.str(), parseLogLevel(result.settings.logLevel), "-");
    return GatewayDaemon(result.settings, options.file, makePlatformAdapter).run() == 0 ? ExitCode::Done : ExitCode::Failed;
}

}

void declareGateway(CLI::App &app, CommandAction &action)
{
    auto options = std::make_shared<GatewayOptions>();
    auto *command = app.add_subcommand("gateway", "Run a gateway in front of the platform's backend servers");
    command->footer("SIGTERM starts a graceful stop, SIGHUP reloads the settings.\n"
                    "Exit codes: 0 stopped gracefully, 1 invalid settings or an address that cannot be used, 2 wrong usage.");
    command->add_option("--settings", options->file, "INI file of this process")->required();
    command->add_option("--set", options->overrides, "section.key=value, replaces the value of the file");
    command->add_flag("--check", options->isCheckOnly, "check the settings and exit");
    command->callback([&action, options] {
        action = [options](const CommandContext &context) {
            return runGateway(*options, context);
        };
    });
}

}
