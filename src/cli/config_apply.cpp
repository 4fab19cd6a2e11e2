#include "cli/config_apply.h"

#include "cli/remote_config.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cmath>
#include <ostream>
#include <thread>

namespace carawaypoint
{

namespace
{

namespace json = boost::json;
constexpr auto PollInterval = std::chrono::milliseconds(200);

class ConfigApplier
{
public:
    ConfigApplier(const ApplyOptions &options, const ConfigDocuments &documents, const CommandContext &context)
        : options_(options)
        , documents_(documents)
        , context_(context)
        , client_(options.daemon.makeClient())
    {
    }

    ExitCode run()
    {
        auto failure = ExitCode::Done;
        const auto current = fetchConfig(client_, context_, failure);
        if (!current) {
            return failure;
        }
        const auto base = readAppliedConfig(options_.directory);
        const auto expected = options_.expectedGeneration.value_or(base ? base->generation : current->generation);
        if (current->documents.hasSameTexts(documents_)) {
            // This is also the case when an earlier attempt took effect although its answer was lost.
            return finish(current->generation, "Nothing to change");
        }
        if (!options_.expectedGeneration && !base && current->generation > 0) {
            return reportMissingBase(*current);
        }
        if (expected != current->generation) {
            return reportConflict(base ? base->documents : ConfigDocuments{}, *current);
        }
        showDifference(*current);
        if (options_.isDryRun) {
            return ExitCode::Done;
        }
        return send(*current, expected);
    }

private:
    void showDifference(const RemoteConfig &current)
    {
        result_["differences"] = differencesJson(current.documents, documents_);
        if (!options_.daemon.isJson) {
            context_.out << "Changes to generation " << current.generation << ":\n";
            writeDifferences(context_.out, current.documents, documents_, options_.hasLines);
        } else if (options_.isDryRun) {
            context_.out << json::serialize(result_) << "\n";
        }
    }

    ExitCode send(const RemoteConfig &current, std::uint64_t expected)
    {
        const auto answer = client_.post("/admin/config", toJson(VersionedConfig{expected, documents_}, "expected_generation"));
        if (answer.isOk()) {
            const auto generation = memberText(parseAnswer(answer), "generation");
            return finish(std::stoull(generation), "Accepted");
        }
        if (!answer.error && answer.status == 409) {
            return reportConflict(current.documents, parseRemoteConfig(answer.body));
        }
        if (!answer.error && answer.status < 500) {
            const auto failure = reportFailure(answer, context_);
            for (const auto &errorText : parseAnswer(answer)["faults"].is_array() ? parseAnswer(answer)["faults"].as_array() : json::array()) {
                context_.err << "  " << (errorText.is_string() ? std::string(errorText.as_string()) : json::serialize(errorText)) << "\n";
            }
            return failure;
        }
        return resolveLostAnswer(answer, expected);
    }

    /// Finds out whether the change took effect although its answer was lost or reported a failure of the platform.
    ExitCode resolveLostAnswer(const AdminAnswer &answer, std::uint64_t expected)
    {
        const auto failure = reportFailure(answer, context_);
        auto readFailure = ExitCode::Done;
        const auto current = answer.wasSent ? fetchConfig(client_, context_, readFailure) : std::nullopt;
        if (current && current->generation > expected && current->documents.hasSameTexts(documents_)) {
            return finish(current->generation, "Accepted, although the answer was lost");
        }
        context_.err << (answer.wasSent ? "carawaypoint: it is not known whether the change was accepted; the same command again finds out\n"
                                        : "carawaypoint: nothing was changed\n");
        return failure;
    }

    ExitCode reportConflict(const ConfigDocuments &base, const RemoteConfig &current)
    {
        if (options_.daemon.isJson) {
            context_.out << json::serialize(
                json::object{{"conflict", true}, {"generation", current.generation}, {"differences", differencesJson(base, current.documents)}})
                         << "\n";
            return ExitCode::Conflict;
        }
        context_.err << "carawaypoint: another operator changed the configuration; nothing was applied. Generation " << current.generation
                     << " is in force and differs from the one that your files are based on:\n";
        writeDifferences(context_.err, base, current.documents, true);
        context_.err << "Take these changes over into your files, then run with --expected-generation " << current.generation << ".\n";
        return ExitCode::Conflict;
    }

    /// Refuses files whose base generation is unknown: they could revert a change of another operator unnoticed.
    ExitCode reportMissingBase(const RemoteConfig &current)
    {
        showDifference(current);
        context_.err << "carawaypoint: nothing was applied, because " << options_.directory
                     << "/.applied.json is missing and it is not known on which generation "
                     << "your files are based. If they are based on generation " << current.generation << ", run with --expected-generation "
                     << current.generation << "; otherwise start with config show --export.\n";
        return ExitCode::Conflict;
    }

    /// Records the applied configuration, waits until it is in force and writes the result; @p summary begins the message.
    ExitCode finish(std::uint64_t generation, const char *summary)
    {
        if (!writeAppliedConfig(options_.directory, {generation, documents_})) {
            context_.err << "carawaypoint: " << options_.directory << "/.applied.json cannot be written; state --expected-generation at the next change\n";
        }
        const bool isInForce = options_.waitSeconds <= 0 || waitUntilInForce(generation);
        if (options_.daemon.isJson) {
            result_["generation"] = generation;
            result_["in_force"] = options_.waitSeconds > 0 ? json::value(isInForce) : json::value(nullptr);
            context_.out << json::serialize(result_) << "\n";
        } else {
            context_.out << summary << ": generation " << generation << (options_.waitSeconds > 0 && isInForce ? " is in force at every known daemon" : "")
                         << ".\n";
        }
        if (isInForce) {
            return ExitCode::Done;
        }
        context_.err << "carawaypoint: generation " << generation << " is not yet in force at: " << pendingDaemons_ << "\n";
        return ExitCode::TimedOut;
    }

    /// Polls until every live daemon has @p generation in force. pendingDaemons_ lists those that do not.
    bool waitUntilInForce(std::uint64_t generation)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::llround(options_.waitSeconds * 1000));
        for (;;) {
            const auto answer = client_.get("/admin/config/status");
            pendingDaemons_ = answer.isOk() ? findPendingDaemons(parseAnswer(answer), generation) : "unknown, no daemon answers";
            if (pendingDaemons_.empty()) {
                return true;
            }
            if (std::chrono::steady_clock::now() + PollInterval > end) {
                return false;
            }
            std::this_thread::sleep_for(PollInterval);
        }
    }

    /// Lists the live daemons with an older generation; empty when there are none.
    static std::string findPendingDaemons(const json::object &status, std::uint64_t generation)
    {
        std::string pending;
        const auto members = memberObjects(status, "members");
        for (const auto &member : members) {
            const auto text = memberText(member, "generation");
            const auto state = memberText(member, "state");
            if (state == "dead" || state == "left" || (!text.empty() && std::stoull(text) >= generation)) {
                continue;
            }
            pending += (pending.empty() ? "" : ", ") + memberText(member, "id") + " (generation " + (text.empty() ? "unknown" : text) + ")";
        }
        return members.empty() ? "unknown, no daemon is listed" : pending;
    }

    const ApplyOptions &options_;
    const ConfigDocuments &documents_;
    const CommandContext &context_;
    AdminClient client_;
    json::object result_;
    std::string pendingDaemons_; // live daemons without the new generation, for messages
};

}

ExitCode applyConfig(const ApplyOptions &options, const ConfigDocuments &documents, const CommandContext &context)
{
    return ConfigApplier(options, documents, context).run();
}

}
