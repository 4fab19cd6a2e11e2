#include "gateway/change_history.h"

#include "core/delta_compression.h"

#include <algorithm>

namespace carawaypoint
{

void ChangeHistory::add(std::uint64_t from, std::uint64_t to, std::span<const ObjectEvent> changes)
{
    if (to <= last_) {
        return;
    }
    if (from > last_) {
        reset(from);
    }
    last_ = to;
    if (changes.empty()) {
        return;
    }
    batches_.push_back({from, to, {changes.begin(), changes.end()}});
    changeCount_ += changes.size();
    while (changeCount_ > MaxChanges) {
        changeCount_ -= batches_.front().changes.size();
        first_ = batches_.front().to;
        batches_.pop_front();
    }
}

void ChangeHistory::reset(std::uint64_t revision)
{
    batches_.clear();
    changeCount_ = 0;
    first_ = revision;
    last_ = revision;
}

std::optional<ChangeNotice> ChangeHistory::since(std::uint64_t revision) const
{
    if (revision < first_) {
        return std::nullopt;
    }
    ChangeNotice notice;
    notice.fromRevision = revision;
    notice.toRevision = std::max(revision, last_);
    for (const auto &batch : batches_) {
        if (batch.to > revision) {
            notice.changes.insert(notice.changes.end(), batch.changes.begin(), batch.changes.end());
        }
    }
    return notice;
}

void ConfigHistory::add(std::uint64_t version, std::string text)
{
    if (!configs_.empty() && version <= configs_.back().version) {
        return;
    }
    configs_.push_back({version, std::move(text)});
    if (configs_.size() > MaxConfigs) {
        configs_.pop_front();
    }
}

const ConfigHistory::Config *ConfigHistory::find(std::uint64_t version) const
{
    const auto found = std::find_if(configs_.begin(), configs_.end(), [version](const Config &config) { return config.version == version; });
    return found == configs_.end() ? nullptr : &*found;
}

std::optional<ConfigUpdate> ConfigHistory::updateFrom(std::uint64_t baseVersion) const
{
    if (configs_.empty() || configs_.back().version <= baseVersion) {
        return std::nullopt;
    }
    const auto *base = find(baseVersion);
    auto delta = compressDelta(configs_.back().text, base == nullptr ? std::string_view() : base->text);
    if (!delta) {
        return std::nullopt;
    }
    return ConfigUpdate{base == nullptr ? 0 : baseVersion, configs_.back().version, *std::move(delta)};
}

std::optional<std::string> ConfigHistory::restore(const ConfigUpdate &update) const
{
    const auto *base = find(update.baseVersion);
    if (update.baseVersion != 0 && base == nullptr) {
        return std::nullopt;
    }
    return expandDelta(update.delta, base == nullptr ? std::string_view() : base->text, ObjectStore::MaxValueBytes * 2);
}

std::uint64_t ConfigHistory::previousVersion() const
{
    return configs_.size() < 2 ? 0 : configs_[configs_.size() - 2].version;
}

}
