#pragma once

#include "cli/admin_client.h"
#include "cli/command_line.h"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace carawaypoint
{

/// Options of every subcommand that talks to daemons.
struct DaemonOptions {
    std::vector<std::string> daemons;
    double timeoutSeconds = 35; // above the daemons' own limit of 30 s for a call
    bool isJson = false;

    AdminClient makeClient() const;
};

/// Adds --daemon, --timeout and --json.
void addDaemonOptions(CLI::App &command, DaemonOptions &options);

/// Describes the failure of @p answer on the error stream and returns the exit code for it.
ExitCode reportFailure(const AdminAnswer &answer, const CommandContext &context);

/// The object in the body of @p answer; throws std::runtime_error when it holds none.
boost::json::object parseAnswer(const AdminAnswer &answer);

/// The text of a member of @p object, also for numbers and flags; empty when absent.
std::string memberText(const boost::json::object &object, std::string_view key);

/// The array of objects under @p key; empty when absent.
std::vector<boost::json::object> memberObjects(const boost::json::object &object, std::string_view key);

/// The texts of the array under @p key, separated by commas.
std::string memberList(const boost::json::object &object, std::string_view key);

/// Writes rows in aligned columns; the first row is the heading.
void writeTable(std::ostream &out, const std::vector<std::vector<std::string>> &rows);

}
