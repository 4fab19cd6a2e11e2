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

/// Fetches the configuration in force from a daemon. When the result is empty, the error was written and @p failure holds the
/// exit code.
std::optional<RemoteConfig> fetchConfig(const AdminClient &client, const CommandContext &context, ExitCode &failure);

/// Parses the configuration in @p body; throws std::runtime_error when it is malformed.
RemoteConfig parseRemoteConfig(std::string_view body);

/// Reads `.applied.json` of @p directory: the configuration that its files were last equal to. The operator's edits are based
/// on it, so a comparison with the configuration in force shows what another operator has changed since.
std::optional<RemoteConfig> readAppliedConfig(const std::string &directory);

/// Writes `.applied.json` of @p directory; false when that fails.
bool writeAppliedConfig(const std::string &directory, const RemoteConfig &config);

/// Writes base.ini, the overlays and `.applied.json` to @p directory, without removing other files; false when that fails.
bool exportConfig(const std::string &directory, const RemoteConfig &config);

/// Writes the differences of the effective values, and those of the lines when @p hasLines.
void writeDifferences(std::ostream &out, const ConfigDocuments &before, const ConfigDocuments &after, bool hasLines);

/// Returns the differences as a JSON object with the members `values` and `lines`.
boost::json::object differencesJson(const ConfigDocuments &before, const ConfigDocuments &after);

}
