#pragma once

#include "cli/admin_client.h"
#include "cli/command_line.h"
#include "config/config_difference.h"

#include <boost/json/object.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace carawaypoint
{

using RemoteConfig = VersionedConfig;

/// Asks for the configuration in force. Without a result @p failure holds the exit code, and the reason was written.
std::optional<RemoteConfig> fetchConfig(const AdminClient &client, const CommandContext &context, ExitCode &failure);

/// The configuration in @p body; throws std::runtime_error for another form.
RemoteConfig parseRemoteConfig(std::string_view body);

/// The configuration that the files of @p directory were last equal to, from its file `.applied.json`. An operator's edits
/// are based on it, so it shows what another operator changed since.
std::optional<RemoteConfig> readAppliedConfig(const std::string &directory);

/// False when the file cannot be written.
bool writeAppliedConfig(const std::string &directory, const RemoteConfig &config);

/// Writes base.ini, the overlays and `.applied.json`; removes no other file.
bool exportConfig(const std::string &directory, const RemoteConfig &config);

/// Writes the differences of the values in force, and of the lines when @p hasLines.
void writeDifferences(std::ostream &out, const ConfigDocuments &before, const ConfigDocuments &after, bool hasLines);

/// The differences as JSON with the members values and lines.
boost::json::object differencesJson(const ConfigDocuments &before, const ConfigDocuments &after);

}
