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
    std::optional<EffectiveEntry> before; // empty: the first configuration lacks the value
    std::optional<EffectiveEntry> after; // empty: the second configuration lacks the value
};

/// A line that only one of two configurations has.
struct LineDifference {
    std::string file;
    unsigned line = 0; // line number in the configuration that has the line
    bool isAdded = false;
    std::string text;
};

/// Returns the differences of the effective values, by site and key. Two notations of the same value are equal.
std::vector<ValueDifference> compareValues(const LoadedConfig &before, const LoadedConfig &after);

/// Returns the differences of the texts, by file and line.
std::vector<LineDifference> compareLines(const ConfigDocuments &before, const ConfigDocuments &after);

}
