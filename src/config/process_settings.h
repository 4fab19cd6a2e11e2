#pragma once

#include "config/ini_document.h"
#include "config/schema.h"
#include "core/ids.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// Settings of one daemon process, from its INI file and the command line.
struct ProcessSettings {
    MemberId id;
    ZoneId zone;
    std::string site; // selects the configuration overlay; each site is one availability zone
    unsigned trafficThreads = 2;
    Endpoint http;
    Endpoint admin;
    Endpoint peer;
    Endpoint platform;
    std::vector<Endpoint> seeds;
    std::string logLevel; // for parseLogLevel()
    std::string logFile; // path; empty: standard error
};

struct ProcessSettingsResult {
    ProcessSettings settings; // valid only when errors is empty
    std::vector<ConfigError> errors;
};

/// Reads settings from the text of an INI file. Each of @p overrides is `section.key=value` and replaces the value of the
/// file; errors in them have the origin `--set:<number>`.
ProcessSettingsResult parseProcessSettings(std::string_view text, std::string_view file, std::span<const std::string> overrides = {});

/// As parseProcessSettings() with the file at @p path; an empty path counts as an empty file.
ProcessSettingsResult loadProcessSettings(const std::string &path, std::span<const std::string> overrides = {});

/// The sections of a process's INI file.
std::span<const SectionSchema> processSchema();

}
