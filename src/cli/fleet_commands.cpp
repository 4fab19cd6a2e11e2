#include "cli/fleet_commands.h"

#include "cli/command_support.h"

#include <CLI/CLI.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace carawaypoint
{

namespace
{

namespace json = boost::json;
using Rows = std::vector<std::vector<std::string>>;

/// Writes a table of the objects under @p key with the given columns.
void writeObjectTable(std::ostream &out, const json::object &body, std::string_view title, std::string_view key, const std::vector<std::string> &columns)
{
    const auto objects = memberObjects(body, key);
    out << title << " (" << objects.size() << ")\n";
    if (objects.empty()) {
        return;
    }
    Rows rows{columns};
    for (const auto &object : objects) {
        std::vector<std::string> row;
        for (const auto &column : columns) {
            const auto *value = object.if_contains(column);
            row.push_back(value != nullptr && value->is_array() ? memberList(object, column) : memberText(object, column));
        }
        rows.push_back(std::move(row));
    }
    writeTable(out, rows);
    out << "\n";
}

ExitCode runStatus(const DaemonOptions &options, const CommandContext &context)
{
    const auto answer = options.makeClient().get("/admin/status");
    if (!answer.isOk()) {
        return reportFailure(answer, context);
    }
    const auto body = parseAnswer(answer);
    if (options.isJson) {
        context.out << json::serialize(body) << "\n";
        return ExitCode::Done;
    }
    context.out << "daemon " << memberText(body, "daemon") << ", zone " << memberText(body, "zone") << ", ready " << memberText(body, "ready")
                << ", configuration generation " << memberText(body, "generation") << ", platform reachable " << memberText(body, "platform_reachable")
                << "\n\n";
    writeObjectTable(context.out, body, "Zones", "zones", {"zone", "reachable", "daemons"});
    writeObjectTable(context.out, body, "Daemons", "members", {"id", "zone", "state", "generation"});
    writeObjectTable(context.out, body, "Replicas", "replicas", {"replica", "incarnation", "model", "zone", "domain", "state", "running", "members"});
    writeObjectTable(context.out, body, "VMs", "vms", {"vm", "zone", "domain", "pool", "state", "replica"});
    writeObjectTable(context.out, body, "Stranded accelerators", "stranded", {"zone", "domain", "vms", "spares"});
    return ExitCode::Done;
}

void writeAlarm(std::ostream &out, const json::object &alarm)
{
    out << memberText(alarm, "cause") << ": " << memberText(alarm, "detail") << "\n  since " << memberText(alarm, "since") << ", raised "
        << memberText(alarm, "raised_at");
    if (const auto cleared = memberText(alarm, "cleared_at"); !cleared.empty()) {
        out << ", cleared " << cleared;
    }
    out << "\n";
    if (const auto effects = memberList(alarm, "effects"); !effects.empty()) {
        out << "  affects " << effects << "\n";
    }
    if (const auto advice = memberText(alarm, "advice"); !advice.empty()) {
        out << "  " << advice << "\n";
    }
}

ExitCode runAlarms(const DaemonOptions &options, const CommandContext &context)
{
    const auto answer = options.makeClient().get("/admin/alarms");
    if (!answer.isOk()) {
        return reportFailure(answer, context);
    }
    const auto body = parseAnswer(answer);
    const auto active = memberObjects(body, "active");
    const auto result = active.empty() ? ExitCode::Done : ExitCode::Failed;
    if (options.isJson) {
        context.out << json::serialize(body) << "\n";
        return result;
    }
    const auto recent = memberObjects(body, "recent");
    context.out << "Active alarms (" << active.size() << ")\n";
    for (const auto &alarm : active) {
        writeAlarm(context.out, alarm);
    }
    context.out << "\nCleared lately (" << recent.size() << ")\n";
    for (const auto &alarm : recent) {
        writeAlarm(context.out, alarm);
    }
    return result;
}

struct ExplainOptions {
    DaemonOptions daemon;
    std::string subject;
};

/// Each daemon keeps only its own decisions, so the records of all given daemons are merged.
ExitCode runExplain(const ExplainOptions &options, const CommandContext &context)
{
    const auto client = options.daemon.makeClient();
    const auto target = "/admin/explain?subject=" + encodeQueryValue(options.subject);
    std::vector<std::pair<std::string, json::object>> records; // by time
    std::size_t answers = 0;
    auto result = ExitCode::Unreachable;
    for (const auto &daemon : client.daemons()) {
        const auto answer = client.call(daemon, "GET", target, {});
        if (!answer.isOk()) {
            result = reportFailure(answer, context);
            continue;
        }
        ++answers;
        for (auto &record : memberObjects(parseAnswer(answer), "records")) {
            record["daemon"] = daemon.toString();
            records.emplace_back(memberText(record, "time"), std::move(record));
        }
    }
    if (answers == 0) {
        return result;
    }
    std::stable_sort(records.begin(), records.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    if (options.daemon.isJson) {
        json::array array;
        for (auto &[time, record] : records) {
            array.push_back(std::move(record));
        }
        context.out << json::serialize(json::object{{"subject", options.subject}, {"records", std::move(array)}}) << "\n";
        return records.empty() ? ExitCode::Failed : ExitCode::Done;
    }
    if (records.empty()) {
        context.err << "carawaypoint: no decision about " << options.subject << " is kept by the " << answers
                    << " daemons asked; older ones are in their log files\n";
        return ExitCode::Failed;
    }
    for (const auto &[time, record] : records) {
        context.out << time << " " << memberText(record, "daemon") << " " << memberText(record, "kind") << ": " << memberText(record, "choice") << " because "
                    << memberText(record, "reason") << " " << memberText(record, "fields") << "\n";
    }
    return ExitCode::Done;
}

struct DrainOptions {
    DaemonOptions daemon;
    std::string vm;
};

ExitCode runDrain(const DrainOptions &options, const CommandContext &context)
{
    if (options.vm.empty() && options.daemon.daemons.size() != 1) {
        context.err << "carawaypoint: drain stops the daemon that it reaches, so exactly one --daemon is needed without --vm\n";
        return ExitCode::Usage;
    }
    const auto body = options.vm.empty() ? json::object() : json::object{{"vm", options.vm}};
    const auto answer = options.daemon.makeClient().post("/admin/drain", json::serialize(body));
    if (!answer.isOk()) {
        return reportFailure(answer, context);
    }
    if (options.daemon.isJson) {
        context.out << json::serialize(parseAnswer(answer)) << "\n";
        return ExitCode::Done;
    }
    context.out << (options.vm.empty() ? "The daemon at " + answer.daemon.toString() : "The backend server " + options.vm)
                << " takes no new work; requests in progress end normally.\n";
    return ExitCode::Done;
}

}

void declareStatus(CLI::App &app, CommandAction &action)
{
    auto options = std::make_shared<DaemonOptions>();
    auto *command = app.add_subcommand("status", "Show replicas, VMs, zones, daemons and stranded accelerators");
    command->footer("A daemon shows the state of its own zone and of the other zones, and marks zones that it cannot reach.\n"
                    "Exit codes: 0 shown, 2 wrong usage, 3 no daemon reachable.");
    addDaemonOptions(*command, *options);
    command->callback([&action, options] {
        action = [options](const CommandContext &context) {
            return runStatus(*options, context);
        };
    });
}

void declareAlarms(CLI::App &app, CommandAction &action)
{
    auto options = std::make_shared<DaemonOptions>();
    auto *command = app.add_subcommand("alarms", "Show active and recently cleared alarms");
    command->footer("An alarm is raised when a failure lasts longer than its expected repair time and its repair makes no progress.\n"
                    "docs/OPERATIONS.md says what to do for each alarm.\n"
                    "Exit codes: 0 no active alarm, 1 there are active alarms, 2 wrong usage, 3 no daemon reachable.");
    addDaemonOptions(*command, *options);
    command->callback([&action, options] {
        action = [options](const CommandContext &context) {
            return runAlarms(*options, context);
        };
    });
}

void declareExplain(CLI::App &app, CommandAction &action)
{
    auto options = std::make_shared<ExplainOptions>();
    auto *command = app.add_subcommand("explain", "Show the decisions about a request, replica or VM and their reasons");
    command->footer("Each daemon keeps its latest decisions in memory; all given daemons are asked. Older decisions are in the log files.\n"
                    "Exit codes: 0 shown, 1 no decision is kept about the subject, 2 wrong usage, 3 no daemon reachable.");
    command->add_option("subject", options->subject, "Request (X-Request-Id), replica or VM")->required();
    addDaemonOptions(*command, options->daemon);
    command->callback([&action, options] {
        action = [options](const CommandContext &context) {
            return runExplain(*options, context);
        };
    });
}

void declareDrain(CLI::App &app, CommandAction &action)
{
    auto options = std::make_shared<DrainOptions>();
    auto *command = app.add_subcommand("drain", "Stop a daemon or a backend server without interrupting requests");
    command->footer("Without --vm the daemon at --daemon refuses new work, lets its streams end and leaves. With --vm the backend server gets no new\n"
                    "work; stop its VM when `carawaypoint status` shows no running request on its replica.\n"
                    "Exit codes: 0 started, 1 refused, 2 wrong usage, 3 no daemon reachable.");
    command->add_option("--vm", options->vm, "Backend server to drain instead of the daemon")->type_name("VM");
    addDaemonOptions(*command, options->daemon);
    command->callback([&action, options] {
        action = [options](const CommandContext &context) {
            return runDrain(*options, context);
        };
    });
}

}
