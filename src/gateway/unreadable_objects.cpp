#include "gateway/unreadable_objects.h"

#include "observe/metrics.h"

namespace carawaypoint
{

namespace
{

/// Other programs choose the names. When there are more, all are forgotten and may be reported again.
constexpr std::size_t MaxNames = 1024;

}

UnreadableObjects::UnreadableObjects(std::string_view kind, LogLevel level)
    : kind_(kind)
    , level_(level)
{
}

void UnreadableObjects::report(const StoredObject &object)
{
    if (reportedVersions_.size() >= MaxNames && !reportedVersions_.contains(object.name)) {
        reportedVersions_.clear();
    }
    const auto [known, isNew] = reportedVersions_.try_emplace(object.name, object.version);
    if (!isNew && known->second == object.version) {
        return;
    }
    known->second = object.version;
    metricsRegistry().count(CounterMetric::UnreadableObjects, kind_);
    logLine(level_, "object cannot be read and is left out", {{"kind", kind_}, {"name", object.name}, {"object_version", object.version}});
}

}
