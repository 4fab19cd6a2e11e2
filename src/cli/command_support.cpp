#include "cli/command_support.h"

#include <CLI/CLI.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <stdexcept>

namespace carawaypoint
{

namespace json = boost::json;

AdminClient DaemonOptions::makeClient() const
{
    std::vector<Endpoint> endpoints;
    std::transform(daemons.begin(), daemons.end(), std::back_inserter(endpoints), [](const std::string &text) { return Endpoint::parse(text); });
    return AdminClient(std::move(endpoints), Duration(std::llround(timeoutSeconds * 1e6)));
}

void addDaemonOptions(CLI::App &command, DaemonOptions &options)
{
    const auto checkAddress = [](const std::string &text) {
        return Endpoint::parse(text).isValid() ? std::string() : "expected address:port, found " + text;
    };
    command
        .add_option("--daemon", options.daemons,
                    "Admin address of a daemon (listen.admin of its settings). May be given several times; they are tried in turn.")
        ->required()
        ->delimiter(',')
        ->type_name("ADDRESS:PORT")
        ->check(CLI::Validator(checkAddress, ""))
        ->envname("CARAWAYPOINT_DAEMONS");
    command.add_option("--timeout", options.timeoutSeconds, "Seconds to wait for an answer")
        ->type_name("SECONDS")
        ->check(CLI::Range(0.1, 600.0).description(""))
        ->capture_default_str();
    command.add_flag("--json", options.isJson, "Write JSON, for scripts");
}

ExitCode reportFailure(const AdminAnswer &answer, const CommandContext &context)
{
    if (answer.error) {
        context.err << "carawaypoint: no answer from " << answer.daemon.toString() << ": " << answer.error.message() << "\n";
        return ExitCode::Unreachable;
    }
    json::error_code parseError;
    const auto body = json::parse(answer.body, parseError);
    const auto *error = !parseError && body.is_object() ? body.as_object().if_contains("error") : nullptr;
    context.err << "carawaypoint: " << answer.daemon.toString() << " answered " << answer.status;
    if (error != nullptr && error->is_object()) {
        context.err << " " << memberText(error->as_object(), "name") << ": " << memberText(error->as_object(), "message");
    }
    context.err << "\n";
    return answer.status >= 500 ? ExitCode::Unreachable : ExitCode::Failed;
}

json::object parseAnswer(const AdminAnswer &answer)
{
    json::error_code error;
    auto value = json::parse(answer.body, error);
    if (error || !value.is_object()) {
        throw std::runtime_error(answer.daemon.toString() + " answered with a body that is not a JSON object");
    }
    return std::move(value.as_object());
}

std::string memberText(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    if (value == nullptr || value->is_null()) {
        return {};
    }
    if (value->is_string()) {
        return std::string(value->as_string());
    }
    if (value->is_bool()) {
        return value->as_bool() ? "yes" : "no";
    }
    return json::serialize(*value);
}

std::vector<json::object> memberObjects(const json::object &object, std::string_view key)
{
    std::vector<json::object> objects;
    const auto *value = object.if_contains(key);
    if (value != nullptr && value->is_array()) {
        for (const auto &item : value->as_array()) {
            if (item.is_object()) {
                objects.push_back(item.as_object());
            }
        }
    }
    return objects;
}

std::string memberList(const json::object &object, std::string_view key)
{
    std::string text;
    const auto *value = object.if_contains(key);
    if (value != nullptr && value->is_array()) {
        for (const auto &item : value->as_array()) {
            text += (text.empty() ? "" : ", ") + (item.is_string() ? std::string(item.as_string()) : json::serialize(item));
        }
    }
    return text;
}

void writeTable(std::ostream &out, const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            out << row[i];
            if (i + 1 < row.size()) {
                out << std::string(widths[i] - row[i].size() + 2, ' ');
            }
        }
        out << "\n";
    }
}

}
