#pragma once

#include "config/config_loader.h"

#include <optional>
#include <string>
#include <vector>

namespace carawaypoint
{

/// A value that differs between two configurations.
struct ValueDifference {
    std::string site;
    std::string key; // `model drafting.replicas`
    std::optional<EffectiveEntry> before; // empty: the value does not exist there
    std::optional<EffectiveEntry> after;
};

/// A line that only one of two configurations has.
struct LineDifference {
    std::string file;
    unsigned line = 0; // in the configuration that has it
    bool isAdded = false;
    std::string text;
};

/// Differences in force, by site and key. Two ways to write the same value do not differ.
std::vector<ValueDifference> compareValues(const LoadedConfig &before, const LoadedConfig &after);

/// Differences of the texts, by file and line.
std::vector<LineDifference> compareLines(const ConfigDocuments &before, const ConfigDocuments &after);

}
