#include "cli/remote_config.h"

#include "cli/command_support.h"
#include "core/result_code.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <filesystem>
#include <fstream>
#include <ostream>
#include <sstream>
#include <stdexcept>

namespace carawaypoint
{

namespace
{

namespace json = boost::json;

std::string appliedPath(const std::string &directory)
{
    return (std::filesystem::path(directory) / ".applied.json").string();
}

bool writeFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << text;
    file.close();
    return !file.fail();
}

std::string valueText(const std::optional<EffectiveEntry> &entry)
{
    return entry ? "'" + entry->value + "' (" + entry->originText() + ")" : "none";
}

json::value valueJson(const std::optional<EffectiveEntry> &entry)
{
    return entry ? json::value(json::object{{"value", entry->value}, {"origin", entry->originText()}}) : json::value(nullptr);
}

/// Loads @p documents; the result has no values when they are empty or invalid. A configuration that was applied by an earlier
/// version may be invalid under the current schema.
LoadedConfig loadOrEmpty(const ConfigDocuments &documents)
{
    return documents.base.empty() && documents.sites.empty() ? LoadedConfig{} : loadConfig(documents);
}

}

std::optional<RemoteConfig> fetchConfig(const AdminClient &client, const CommandContext &context, ExitCode &failure)
{
    const auto answer = client.get("/admin/config");
    if (answer.isOk()) {
        return parseRemoteConfig(answer.body);
    }
    if (!answer.error && answer.body.find(resultCodeName(ResultCode::ConfigMissing)) != std::string::npos) {
        return RemoteConfig{};
    }
    failure = reportFailure(answer, context);
    return std::nullopt;
}

RemoteConfig parseRemoteConfig(std::string_view body)
{
    std::string errorText;
    auto parsed = parseVersionedConfig(body, errorText);
    if (!parsed) {
        throw std::runtime_error("the configuration has another form than expected: " + errorText);
    }
    return *std::move(parsed);
}

std::optional<RemoteConfig> readAppliedConfig(const std::string &directory)
{
    std::ifstream file(appliedPath(directory), std::ios::binary);
    if (!file.is_open()) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    std::string errorText;
    auto parsed = parseVersionedConfig(text.str(), errorText);
    if (!parsed) {
        throw std::runtime_error(appliedPath(directory) + ": " + errorText + "; export the configuration again with config show --export");
    }
    return parsed;
}

bool writeAppliedConfig(const std::string &directory, const RemoteConfig &config)
{
    return writeFile(appliedPath(directory), toJson(config) + "\n");
}

bool exportConfig(const std::string &directory, const RemoteConfig &config)
{
    std::error_code error;
    std::filesystem::create_directories(std::filesystem::path(directory) / "sites", error);
    auto documents = config.documents;
    documents.prefix = (std::filesystem::path(directory) / "").string();
    bool isWritten = !error && writeFile(documents.baseFile(), documents.base);
    for (const auto &[site, text] : documents.sites) {
        isWritten = isWritten && writeFile(documents.siteFile(site), text);
    }
    return isWritten && writeAppliedConfig(directory, config);
}

void writeDifferences(std::ostream &out, const ConfigDocuments &before, const ConfigDocuments &after, bool hasLines)
{
    const auto old = loadOrEmpty(before);
    const auto current = loadOrEmpty(after);
    if (old.errors.empty() && current.errors.empty()) {
        const auto values = compareValues(old, current);
        out << "Values that change: " << values.size() << "\n";
        for (const auto &difference : values) {
            out << "  " << difference.site << ": " << difference.key << ": " << valueText(difference.before) << " -> " << valueText(difference.after) << "\n";
        }
    } else {
        out << "Values cannot be compared, because one of the configurations has faults; the lines are below.\n";
        hasLines = true;
    }
    if (!hasLines) {
        return;
    }
    const auto lines = compareLines(before, after);
    out << "Lines that change: " << lines.size() << "\n";
    for (const auto &line : lines) {
        out << "  " << line.file << ":" << line.line << (line.isAdded ? ": + " : ": - ") << line.text << "\n";
    }
}

json::object differencesJson(const ConfigDocuments &before, const ConfigDocuments &after)
{
    json::array values;
    for (const auto &difference : compareValues(loadOrEmpty(before), loadOrEmpty(after))) {
        values.push_back(
            json::object{{"site", difference.site}, {"key", difference.key}, {"before", valueJson(difference.before)}, {"after", valueJson(difference.after)}});
    }
    json::array lines;
    for (const auto &line : compareLines(before, after)) {
        lines.push_back(json::object{{"file", line.file}, {"line", line.line}, {"added", line.isAdded}, {"text", line.text}});
    }
    return {{"values", std::move(values)}, {"lines", std::move(lines)}};
}

}
