#include "cli/config_commands.h"

#include "cli/command_support.h"
#include "cli/config_apply.h"
#include "cli/remote_config.h"
#include "config/config_schema.h"

#include <CLI/CLI.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <charconv>
#include <memory>

namespace carawaypoint
{

namespace
{

namespace json = boost::json;

struct FileOptions {
    std::string directory = ".";
    std::vector<std::string> domainSizes; // zone:pool=VMs
};

struct CheckOptions {
    FileOptions files;
    bool isJson = false;
};

struct DiffOptions {
    FileOptions files;
    DaemonOptions daemon;
    bool hasLines = false;
};

struct ShowOptions {
    DaemonOptions daemon;
    std::string directory; // empty: show the configuration in force
    std::string site; // empty: all sites
    std::string exportDirectory; // empty: show the values
};

/// Parses `zone:pool=VMs`; empty when @p text is malformed.
std::optional<DomainSize> parseDomainSize(const std::string &text)
{
    const auto colon = text.find(':');
    const auto equals = text.find('=');
    if (colon == std::string::npos || equals == std::string::npos || colon == 0 || colon > equals) {
        return std::nullopt;
    }
    DomainSize size{ZoneId(text.substr(0, colon)), text.substr(colon + 1, equals - colon - 1), 0};
    const auto [end, error] = std::from_chars(text.data() + equals + 1, text.data() + text.size(), size.vms);
    return error == std::errc{} && end == text.data() + text.size() && size.vms > 0 ? std::optional(size) : std::nullopt;
}

void addFileOptions(CLI::App &command, FileOptions &options)
{
    command.add_option("--dir", options.directory, "Directory with base.ini and sites/<site>.ini")->type_name("DIRECTORY")->capture_default_str();
    const auto check = [](const std::string &text) {
        return parseDomainSize(text) ? std::string() : "expected ZONE:POOL=VMS, found " + text;
    };
    command.add_option("--domain-size", options.domainSizes, "VMs of the largest fabric domain of a pool in a zone, to check the sizes of replicas")
        ->type_name("ZONE:POOL=VMS")
        ->check(CLI::Validator(check, ""));
}

/// Reads and checks the files. Errors are written to the error stream, and as JSON to the output stream when @p isJson.
std::optional<ConfigDocuments> readChecked(const FileOptions &options, bool isJson, const CommandContext &context)
{
    std::vector<ConfigError> errors;
    auto documents = readConfigDirectory(options.directory == "." ? "" : options.directory, errors);
    if (documents) {
        std::vector<DomainSize> domains;
        for (const auto &text : options.domainSizes) {
            domains.push_back(parseDomainSize(text).value_or(DomainSize{}));
        }
        errors = loadConfig(*documents, domains).errors;
    }
    if (errors.empty()) {
        return documents;
    }
    json::array texts;
    for (const auto &error : errors) {
        context.err << error.toString() << "\n";
        texts.emplace_back(error.toString());
    }
    if (isJson) {
        context.out << json::serialize(json::object{{"faults", std::move(texts)}}) << "\n";
    } else {
        context.err << "carawaypoint: " << errors.size() << (errors.size() == 1 ? " fault" : " faults") << ", nothing is applied\n";
    }
    return std::nullopt;
}

ExitCode runCheck(const CheckOptions &options, const CommandContext &context)
{
    const auto documents = readChecked(options.files, options.isJson, context);
    if (!documents) {
        return ExitCode::Failed;
    }
    if (options.isJson) {
        context.out << "{\"faults\":[]}\n";
    } else {
        context.out << "No faults. " << documents->sites.size() << " sites, " << toJson(*documents).size() << " of " << MaxConfigBytes << " bytes.\n";
    }
    return ExitCode::Done;
}

ExitCode runDiff(const DiffOptions &options, const CommandContext &context)
{
    const auto documents = readChecked(options.files, options.daemon.isJson, context);
    if (!documents) {
        return ExitCode::Failed;
    }
    auto failure = ExitCode::Done;
    const auto current = fetchConfig(options.daemon.makeClient(), context, failure);
    if (!current) {
        return failure;
    }
    if (options.daemon.isJson) {
        context.out << json::serialize(differencesJson(current->documents, *documents)) << "\n";
    } else {
        context.out << "From generation " << current->generation << " in force to the files:\n";
        writeDifferences(context.out, current->documents, *documents, options.hasLines);
    }
    return ExitCode::Done;
}

void writeEffective(const LoadedConfig &loaded, const ShowOptions &options, const CommandContext &context)
{
    json::object sites;
    for (const auto &[site, config] : loaded.sites) {
        if (!options.site.empty() && options.site != site) {
            continue;
        }
        std::vector<std::vector<std::string>> rows{{"key", "value", "from"}};
        json::array entries;
        for (const auto &entry : config.entries) {
            const auto key = entry.section + "." + entry.key;
            rows.push_back({key, entry.value, entry.originText()});
            entries.push_back(json::object{{"key", key}, {"value", entry.value}, {"origin", entry.originText()}});
        }
        sites[site] = std::move(entries);
        if (!options.daemon.isJson) {
            context.out << "Site " << site << "\n";
            writeTable(context.out, rows);
            context.out << "\n";
        }
    }
    if (options.daemon.isJson) {
        context.out << json::serialize(json::object{{"sites", std::move(sites)}}) << "\n";
    }
}

ExitCode runShow(const ShowOptions &options, const CommandContext &context)
{
    std::optional<RemoteConfig> shown;
    if (!options.directory.empty()) {
        auto documents = readChecked({options.directory, {}}, options.daemon.isJson, context);
        if (!documents) {
            return ExitCode::Failed;
        }
        shown = RemoteConfig{0, *std::move(documents)};
    } else {
        auto failure = ExitCode::Done;
        shown = fetchConfig(options.daemon.makeClient(), context, failure);
        if (!shown) {
            return failure;
        }
    }
    if (!options.exportDirectory.empty()) {
        if (!exportConfig(options.exportDirectory, *shown)) {
            context.err << "carawaypoint: the files cannot be written to " << options.exportDirectory << "\n";
            return ExitCode::Failed;
        }
        context.out << "Generation " << shown->generation << " written to " << options.exportDirectory << ".\n";
        return ExitCode::Done;
    }
    const auto loaded = loadConfig(shown->documents);
    for (const auto &error : loaded.errors) {
        context.err << error.toString() << "\n";
    }
    if (!options.site.empty() && loaded.errors.empty() && !loaded.sites.contains(options.site)) {
        context.err << "carawaypoint: the configuration has no site " << options.site << "\n";
        return ExitCode::Failed;
    }
    if (!options.daemon.isJson && options.directory.empty()) {
        context.out << "Generation " << shown->generation << "\n\n";
    }
    writeEffective(loaded, options, context);
    return loaded.errors.empty() ? ExitCode::Done : ExitCode::Failed;
}

ExitCode runConfigStatus(const DaemonOptions &options, const CommandContext &context)
{
    const auto answer = options.makeClient().get("/admin/config/status");
    if (!answer.isOk()) {
        return reportFailure(answer, context);
    }
    const auto body = parseAnswer(answer);
    if (options.isJson) {
        context.out << json::serialize(body) << "\n";
        return ExitCode::Done;
    }
    context.out << "Newest known generation: " << memberText(body, "generation") << "\n";
    std::vector<std::vector<std::string>> rows{{"daemon", "zone", "state", "generation", "in force since"}};
    for (const auto &member : memberObjects(body, "members")) {
        rows.push_back({memberText(member, "id"), memberText(member, "zone"), memberText(member, "state"), memberText(member, "generation"),
                        memberText(member, "in_force_since")});
    }
    writeTable(context.out, rows);
    return ExitCode::Done;
}

void declareCheck(CLI::App &config, CommandAction &action)
{
    auto options = std::make_shared<CheckOptions>();
    auto *command = config.add_subcommand("check", "Check the files of a configuration; needs no daemon");
    command->footer("Writes every error as file:line: section.key: what was expected. All keys are in docs/settings.md.\n"
                    "Exit codes: 0 no error, 1 errors found, 2 wrong usage.");
    addFileOptions(*command, options->files);
    command->add_flag("--json", options->isJson, "Write JSON, for scripts");
    command->callback([&action, options] {
        action = [options](const CommandContext &context) {
            return runCheck(*options, context);
        };
    });
}

void declareDiff(CLI::App &config, CommandAction &action)
{
    auto options = std::make_shared<DiffOptions>();
    auto *command = config.add_subcommand("diff", "Compare the configuration in force with the files");
    command->footer("Compares values: two notations of the same value are equal.\n"
                    "Exit codes: 0 shown, 1 the files have errors, 2 wrong usage, 3 no daemon reachable.");
    addFileOptions(*command, options->files);
    command->add_flag("--lines", options->hasLines, "Show changed lines too");
    addDaemonOptions(*command, options->daemon);
    command->callback([&action, options] {
        action = [options](const CommandContext &context) {
            return runDiff(*options, context);
        };
    });
}

void declareApply(CLI::App &config, CommandAction &action)
{
    auto options = std::make_shared<ApplyOptions>();
    auto files = std::make_shared<FileOptions>();
    auto *command = config.add_subcommand("apply", "Check the files, show the changes and put them in force at all sites");
    command->footer("The file .applied.json in the directory records the generation that your files are based on. When another operator applied a\n"
                    "change since, that change is shown and nothing is applied.\n"
                    "Exit codes: 0 in force at every known daemon, 1 the files have errors, 2 wrong usage, 3 no daemon reachable or outcome unknown,\n"
                    "4 conflict with another operator, 5 accepted but not in force at every daemon in time.");
    addFileOptions(*command, *files);
    command->add_option("--expected-generation", options->expectedGeneration, "Generation that your files are based on, instead of the recorded one")
        ->type_name("NUMBER");
    command->add_option("--wait", options->waitSeconds, "Seconds to wait until the configuration is in force at every daemon; 0 to return at once")
        ->type_name("SECONDS")
        ->check(CLI::Range(0.0, 3600.0).description(""))
        ->capture_default_str();
    command->add_flag("--dry-run", options->isDryRun, "Show what would change and apply nothing");
    command->add_flag("--lines", options->hasLines, "Show changed lines too");
    addDaemonOptions(*command, options->daemon);
    command->callback([&action, options, files] {
        action = [options, files](const CommandContext &context) {
            const auto documents = readChecked(*files, options->daemon.isJson, context);
            options->directory = files->directory;
            return documents ? applyConfig(*options, *documents, context) : ExitCode::Failed;
        };
    });
}

void declareShow(CLI::App &config, CommandAction &action)
{
    auto options = std::make_shared<ShowOptions>();
    auto *command = config.add_subcommand("show", "Show every value in force and the line that it comes from");
    command->footer("With --dir the files are shown instead of the configuration in force, without a daemon.\n"
                    "Exit codes: 0 shown, 1 the configuration has errors or cannot be written, 2 wrong usage, 3 no daemon reachable.");
    command->add_option("--site", options->site, "Only this site")->type_name("SITE");
    auto *exported =
        command->add_option("--export", options->exportDirectory, "Write base.ini, sites/ and .applied.json to this directory instead, to edit and apply")
            ->type_name("DIRECTORY");
    auto *directory = command->add_option("--dir", options->directory, "Show the files of this directory")->type_name("DIRECTORY")->excludes(exported);
    addDaemonOptions(*command, options->daemon);
    auto *daemon = command->get_option("--daemon");
    daemon->required(false);
    command->callback([&action, options, directory, daemon] {
        if (directory->count() == 0 && daemon->count() == 0) {
            throw CLI::RequiredError("--daemon or --dir");
        }
        action = [options](const CommandContext &context) {
            return runShow(*options, context);
        };
    });
}

void declareConfigStatus(CLI::App &config, CommandAction &action)
{
    auto options = std::make_shared<DaemonOptions>();
    auto *command = config.add_subcommand("status", "Show which generation each daemon has in force, and since when");
    command->footer("Exit codes: 0 shown, 2 wrong usage, 3 no daemon reachable.");
    addDaemonOptions(*command, *options);
    command->callback([&action, options] {
        action = [options](const CommandContext &context) {
            return runConfigStatus(*options, context);
        };
    });
}

}

void declareConfig(CLI::App &app, CommandAction &action)
{
    auto *config = app.add_subcommand("config", "Check, compare, apply and show the configuration");
    config->require_subcommand(1);
    config->footer("The configuration consists of base.ini with the values that all sites share and sites/<site>.ini with those that differ at a site.\n"
                   "Examples are in examples/; all keys are in docs/settings.md.");
    declareCheck(*config, action);
    declareDiff(*config, action);
    declareApply(*config, action);
    declareShow(*config, action);
    declareConfigStatus(*config, action);
    auto *reference = config->add_subcommand("reference", "Write the page docs/settings.md: all keys with their values and defaults");
    reference->footer("Exit codes: 0 written, 2 wrong usage.");
    reference->callback([&action] {
        action = [](const CommandContext &context) {
            context.out << settingsReference();
            return ExitCode::Done;
        };
    });
}

}
