#pragma once

#include "gateway/change_notice.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace carawaypoint
{

/// Recent changes of the servers, from which a relay answers followers that missed a notice. Bounded.
class ChangeHistory
{
public:
    /// Changes that are kept; more than a mass restart of the largest fleets makes within seconds.
    static constexpr std::size_t MaxChanges = 8192;

    /// Adds the changes after @p from up to @p to. Discards the earlier ones if some are missing in between.
    void add(std::uint64_t from, std::uint64_t to, std::span<const ObjectEvent> changes);
    /// Forgets all changes, after a list up to @p revision.
    void reset(std::uint64_t revision);
    /// All changes after @p revision, perhaps with some before it; empty when not all of them are kept.
    std::optional<ChangeNotice> since(std::uint64_t revision) const;

private:
    struct Batch {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        std::vector<ObjectEvent> changes;
    };
    std::deque<Batch> batches_; // each continues at the end of the one before
    std::size_t changeCount_ = 0;
    std::uint64_t first_ = 0; // the changes after this revision are kept
    std::uint64_t last_ = 0;
};

/// Recent configurations, from which a relay makes updates for followers. Bounded.
class ConfigHistory
{
public:
    static constexpr std::size_t MaxConfigs = 4;

    /// @param version object version; ignored unless it is higher than all before.
    void add(std::uint64_t version, std::string text);
    /// Update from @p baseVersion to the newest configuration: a difference if the base is kept, or else the whole text. Empty when there is no
    /// newer configuration.
    std::optional<ConfigUpdate> updateFrom(std::uint64_t baseVersion) const;
    /// The configuration that @p update restores; empty when its base is missing or it is invalid.
    std::optional<std::string> restore(const ConfigUpdate &update) const;
    /// Version of the newest configuration but one; 0 when there is none.
    std::uint64_t previousVersion() const;

private:
    struct Config {
        std::uint64_t version = 0;
        std::string text;
    };
    const Config *find(std::uint64_t version) const;

    std::deque<Config> configs_; // in increasing order of version
};

}
