#pragma once

#include "cli/command_support.h"
#include "config/config_documents.h"

#include <cstdint>
#include <optional>
#include <string>

namespace carawaypoint
{

struct ApplyOptions {
    DaemonOptions daemon;
    std::string directory = ".";
    std::optional<std::uint64_t> expectedGeneration; // instead of the one that the directory's files are based on
    double waitSeconds = 30; // for the configuration to be in force everywhere; 0: do not wait
    bool isDryRun = false;
    bool hasLines = false;
};

/// Shows the difference, applies the checked @p documents and waits until they are in force.
ExitCode applyConfig(const ApplyOptions &options, const ConfigDocuments &documents, const CommandContext &context);

}
