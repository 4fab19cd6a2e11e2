#pragma once

#include "cli/admin_client.h"
#include "cli/command_line.h"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace carawaypoint
{

/// Options of every subcommand that sends requests to daemons.
struct DaemonOptions {
    std::vector<std::string> daemons; // admin addresses
    double timeoutSeconds = 35; // more than the daemons' own limit of 30 s for a call
    bool isJson = false;

    AdminClient makeClient() const;
};

/// Adds --daemon, --timeout and --json.
void addDaemonOptions(CLI::App &command, DaemonOptions &options);

/// Writes the reason why @p answer is a failure to the error stream and returns its exit code.
ExitCode reportFailure(const AdminAnswer &answer, const CommandContext &context);

/// Parses the body of @p answer; throws std::runtime_error when it is not a JSON object.
boost::json::object parseAnswer(const AdminAnswer &answer);

/// Returns the member @p key of @p object as text, also when it is a number or a flag; empty when it is absent.
std::string memberText(const boost::json::object &object, std::string_view key);

/// Returns the objects in the array under @p key; empty when it is absent.
std::vector<boost::json::object> memberObjects(const boost::json::object &object, std::string_view key);

/// Returns the elements of the array under @p key, separated by commas.
std::string memberList(const boost::json::object &object, std::string_view key);

/// Writes @p rows in aligned columns; the first row is the heading.
void writeTable(std::ostream &out, const std::vector<std::vector<std::string>> &rows);

}
