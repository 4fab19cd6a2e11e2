#pragma once

#include "cli/command_support.h"
#include "config/config_documents.h"

#include <cstdint>
#include <optional>
#include <string>

namespace carawaypoint
{

/// Options of `config apply`.
struct ApplyOptions {
    DaemonOptions daemon;
    std::string directory = ".";
    std::optional<std::uint64_t> expectedGeneration; // replaces the generation in the directory's .applied.json
    double waitSeconds = 30; // limit of the wait until the configuration is in force at every daemon; 0: do not wait
    bool isDryRun = false; // show the difference and apply nothing
    bool hasLines = false; // also show changed lines
};

/// Shows the difference to the configuration in force, applies the checked @p documents and waits until they are in force.
ExitCode applyConfig(const ApplyOptions &options, const ConfigDocuments &documents, const CommandContext &context);

}
