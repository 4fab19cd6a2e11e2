#include "cli/load_command.h"

#include "load/load_generator.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <memory>
#include <ostream>

namespace carawaypoint
{

namespace
{

struct LoadOptions {
    std::vector<std::string> entries;
    WorkloadOptions workload;
    LoadTarget target;
    BookingOptions booking;
    double seconds = 10;
    double timeoutSeconds = 60;
    double peakStartSeconds = 3;
    double peakSeconds = 3;
    std::string jsonFile;
    std::string keyFile;
    bool isBooking = false;
};

Duration toDuration(double lengthSeconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(lengthSeconds));
}

ExitCode runBookingLoad(const LoadOptions &options, const CommandContext &context)
{
    const BookingReport report = runBookings(options.booking, options.target);
    for (const auto &[outcome, count] : report.outcomes) {
        context.out << "outcome " << outcome << ": " << count << '\n';
    }
    if (!options.keyFile.empty()) {
        std::ofstream file(options.keyFile);
        const auto write = [&file](const std::vector<std::string> &keys, std::string_view state) {
            for (const auto &key : keys) {
                file << key << ' ' << state << '\n';
            }
        };
        write(report.keysToldCompleted, "completed");
        write(report.keysToldNotRun, "not-run");
        write(report.keysToldUnknown, "unknown");
    }
    return report.keysToldCompleted.size() == options.booking.calls ? ExitCode::Done : ExitCode::Failed;
}

ExitCode runChatLoad(const LoadOptions &options, const CommandContext &context)
{
    const LoadReport report = runLoad(options.workload, options.target);
    context.out << report.table();
    if (!options.jsonFile.empty()) {
        std::ofstream(options.jsonFile) << report.json() << '\n';
    }
    return report.whole() == report.count() && report.wrong() == 0 ? ExitCode::Done : ExitCode::Failed;
}

ExitCode runLoadCommand(LoadOptions &options, const CommandContext &context)
{
    for (const auto &text : options.entries) {
        const auto entry = Endpoint::parse(text);
        if (!entry.isValid()) {
            context.err << "carawaypoint load: --entry " << text << ": expected address:port\n";
            return ExitCode::Usage;
        }
        options.target.entries.push_back(entry);
    }
    options.workload.duration = toDuration(options.seconds);
    options.workload.peakStart = toDuration(options.peakStartSeconds);
    options.workload.peakDuration = toDuration(options.peakSeconds);
    options.target.timeout = toDuration(options.timeoutSeconds);
    options.booking.seed = options.workload.seed;
    return options.isBooking ? runBookingLoad(options, context) : runChatLoad(options, context);
}

}

void declareLoad(CLI::App &app, CommandAction &action)
{
    auto options = std::make_shared<LoadOptions>();
    auto *load = app.add_subcommand("load", "Send a seeded workload and check every byte of the answers of the engine stand-ins");
    load->footer("Exit codes: 0 every answer was complete and correct, 1 some were not, 2 wrong usage.");
    load->add_option("--entry", options->entries, "address:port of an entry daemon; may be given several times, requests go to them in turn")->required();
    load->add_option("--seed", options->workload.seed, "seed of the workload");
    load->add_option("--rate", options->workload.rate, "requests per second");
    load->add_option("--seconds", options->seconds, "length of the workload in seconds");
    load->add_option("--crest-rate", options->workload.peakRate, "requests per second at the peak; 0 for no peak");
    load->add_option("--crest-start", options->peakStartSeconds, "start of the peak, in seconds");
    load->add_option("--crest-seconds", options->peakSeconds, "length of the peak in seconds");
    load->add_option("--customers", options->workload.customers, "number of customers, named customer-1 and so on");
    load->add_option("--long-share", options->workload.longShare, "fraction of long requests, 0 to 1");
    load->add_option("--short-tokens", options->workload.shortTokens, "tokens of a short answer");
    load->add_option("--long-tokens", options->workload.longTokens, "tokens of a long answer");
    load->add_option("--model", options->workload.model, "name of the model");
    load->add_option("--threads", options->target.threads, "threads that send requests");
    load->add_option("--timeout", options->timeoutSeconds, "timeout of a request in seconds");
    load->add_option("--json", options->jsonFile, "write the report as JSON to this file");
    load->add_flag("--bookings", options->isBooking, "send non-idempotent calls to a plain service instead of model requests");
    load->add_option("--calls", options->booking.calls, "number of non-idempotent calls");
    load->add_option("--callers", options->booking.callers, "concurrent callers");
    load->add_option("--sends", options->booking.sends, "largest number of times that a call is sent with the same key");
    load->add_option("--path", options->booking.path, "path of the non-idempotent calls");
    load->add_option("--keys", options->keyFile, "write each key and the outcome that its caller was told to this file");
    load->callback([&action, options] {
        action = [options](const CommandContext &context) {
            return runLoadCommand(*options, context);
        };
    });
}

}
