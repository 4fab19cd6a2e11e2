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

class ConfigApplication
{
public:
    ConfigApplication(const ApplyOptions &options, const ConfigDocuments &documents, const CommandContext &context)
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
        const auto based = readAppliedConfig(options_.directory);
        const auto expected = options_.expectedGeneration.value_or(based ? based->generation : current->generation);
        if (current->documents.hasSameTexts(documents_)) {
            // Also after a lost answer: the earlier try took effect.
            return finish(current->generation, "Nothing to change");
        }
        if (!options_.expectedGeneration && !based && current->generation > 0) {
            return reportUnknownBase(*current);
        }
        if (expected != current->generation) {
            return reportConflict(based ? based->documents : ConfigDocuments{}, *current);
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
            for (const auto &fault : parseAnswer(answer)["faults"].is_array() ? parseAnswer(answer)["faults"].as_array() : json::array()) {
                context_.err << "  " << (fault.is_string() ? std::string(fault.as_string()) : json::serialize(fault)) << "\n";
            }
            return failure;
        }
        return resolveLostAnswer(answer, expected);
    }

    /// The write may have taken effect although its answer was lost or was a failure of the platform.
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

    ExitCode reportConflict(const ConfigDocuments &based, const RemoteConfig &current)
    {
        if (options_.daemon.isJson) {
            context_.out << json::serialize(
                json::object{{"conflict", true}, {"generation", current.generation}, {"differences", differencesJson(based, current.documents)}})
                         << "\n";
            return ExitCode::Conflict;
        }
        context_.err << "carawaypoint: another operator changed the configuration; nothing was applied. Generation " << current.generation
                     << " is in force and differs from the one that your files are based on:\n";
        writeDifferences(context_.err, based, current.documents, true);
        context_.err << "Take these changes over into your files, then run with --expected-generation " << current.generation << ".\n";
        return ExitCode::Conflict;
    }

    /// Without a record of their base, the files could silently revert what another operator applied.
    ExitCode reportUnknownBase(const RemoteConfig &current)
    {
        showDifference(current);
        context_.err << "carawaypoint: nothing was applied, because " << options_.directory
                     << "/.applied.json is missing and it is not known on which generation "
                     << "your files are based. If they are based on generation " << current.generation << ", run with --expected-generation "
                     << current.generation << "; otherwise start with config show --export.\n";
        return ExitCode::Conflict;
    }

    ExitCode finish(std::uint64_t generation, const char *what)
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
            context_.out << what << ": generation " << generation << (options_.waitSeconds > 0 && isInForce ? " is in force at every known daemon" : "")
                         << ".\n";
        }
        if (isInForce) {
            return ExitCode::Done;
        }
        context_.err << "carawaypoint: generation " << generation << " is not yet in force at: " << waiting_ << "\n";
        return ExitCode::TimedOut;
    }

    /// Polls until every live daemon has @p generation; waiting_ names those that do not.
    bool waitUntilInForce(std::uint64_t generation)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::llround(options_.waitSeconds * 1000));
        for (;;) {
            const auto answer = client_.get("/admin/config/status");
            waiting_ = answer.isOk() ? findWaiting(parseAnswer(answer), generation) : "unknown, no daemon answers";
            if (waiting_.empty()) {
                return true;
            }
            if (std::chrono::steady_clock::now() + PollInterval > end) {
                return false;
            }
            std::this_thread::sleep_for(PollInterval);
        }
    }

    static std::string findWaiting(const json::object &status, std::uint64_t generation)
    {
        std::string waiting;
        const auto members = memberObjects(status, "members");
        for (const auto &member : members) {
            const auto text = memberText(member, "generation");
            const auto state = memberText(member, "state");
            if (state == "dead" || state == "left" || (!text.empty() && std::stoull(text) >= generation)) {
                continue;
            }
            waiting += (waiting.empty() ? "" : ", ") + memberText(member, "id") + " (generation " + (text.empty() ? "unknown" : text) + ")";
        }
        return members.empty() ? "unknown, no daemon is listed" : waiting;
    }

    const ApplyOptions &options_;
    const ConfigDocuments &documents_;
    const CommandContext &context_;
    AdminClient client_;
    json::object result_;
    std::string waiting_;
};

}

ExitCode applyConfig(const ApplyOptions &options, const ConfigDocuments &documents, const CommandContext &context)
{
    return ConfigApplication(options, documents, context).run();
}

}
