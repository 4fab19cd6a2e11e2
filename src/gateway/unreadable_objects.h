#pragma once

#include "objects/object_store.h"
#include "observe/log.h"

#include <map>
#include <string>
#include <string_view>

namespace carawaypoint
{

/// Writes log lines and metrics for objects that cannot be read, once for each version. Lists and relays repeat them.
class UnreadableObjects
{
public:
    /// @param kind the label of the metric; @param level of the log lines.
    UnreadableObjects(std::string_view kind, LogLevel level);

    void report(const StoredObject &object);

private:
    std::string kind_;
    LogLevel level_;
    std::map<std::string, std::uint64_t> reportedVersions_; // by name
};

}
