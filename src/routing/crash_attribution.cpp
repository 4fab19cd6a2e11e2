#include "routing/crash_attribution.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace carawaypoint
{

namespace
{

/// Slots for the latest answers. More than the traits that a gateway sees in the time for which answers matter.
constexpr std::size_t AnswerSlots = 8192;
/// Answers added to the measured ones, so that a gateway with few requests does not take one loss for a large share.
constexpr double AssumedAnswers = 200;
/// Larger than the number of crashes that is kept, which means that nothing is quarantined.
constexpr double MaxCrashesNeeded = 1000;

bool containsAll(std::span<const TraitId> traits, std::span<const TraitId> wanted)
{
    return std::all_of(wanted.begin(), wanted.end(), [traits](TraitId trait) { return std::find(traits.begin(), traits.end(), trait) != traits.end(); });
}

}

CrashId makeCrashId(std::string_view server, std::uint64_t startedAt)
{
    return XXH3_64bits_withSeed(server.data(), server.size(), startedAt);
}

std::size_t CrashAttribution::Trait::activeCount() const
{
    return static_cast<std::size_t>(std::count_if(crashes.begin(), crashes.end(), [](const Crash &crash) { return !crash.isDisproved; }));
}

std::vector<CrashId> CrashAttribution::Trait::activeIds() const
{
    std::vector<CrashId> ids;
    for (const auto &crash : crashes) {
        if (!crash.isDisproved) {
            ids.push_back(crash.id);
        }
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

TimePoint CrashAttribution::Trait::lastActiveAt() const
{
    TimePoint last{};
    for (const auto &crash : crashes) {
        last = crash.isDisproved ? last : std::max(last, crash.at);
    }
    return last;
}

void CrashAttribution::sortByTime(std::vector<Crash> &crashes)
{
    std::sort(crashes.begin(), crashes.end(), [](const Crash &left, const Crash &right) { return left.at < right.at; });
}

CrashAttribution::CrashAttribution(CrashAttributionSettings settings)
    : settings_(settings)
    , answers_(AnswerSlots)
{
}

bool CrashAttribution::wasAnsweredSince(TraitId trait, TimePoint since) const
{
    const auto &answer = answers_[trait % AnswerSlots];
    return answer.trait == trait && answer.at != TimePoint{} && answer.at >= since;
}

void CrashAttribution::recordCrash(CrashId crash, std::span<const TraitId> traits, TimePoint now)
{
    startWindow(now);
    ++counts_.lost;
    // New traits may replace others that have one crash. The known ones go first, so that their second crash keeps them.
    std::vector<TraitId> ordered(traits.begin(), traits.end());
    std::stable_partition(ordered.begin(), ordered.end(), [this](TraitId trait) { return traits_.contains(trait); });
    bool hasChanged = false;
    for (const auto trait : ordered) {
        if (wasAnsweredSince(trait, now - settings_.recentAnswerTime)) {
            continue;
        }
        if (mergeCrash(trait, {crash, now, false, {}}, now)) {
            traits_.at(trait).changedAt = now;
            hasChanged = true;
        }
    }
    if (hasChanged) {
        updateGroups(now);
    }
}

void CrashAttribution::recordAnswer(std::span<const TraitId> traits, TimePoint now)
{
    startWindow(now);
    ++counts_.answered;
    bool hasChanged = false;
    for (const auto trait : traits) {
        answers_[trait % AnswerSlots] = {trait, now};
        const auto found = traits_.find(trait);
        if (found == traits_.end() || found->second.activeCount() == 0) {
            continue;
        }
        for (auto &crash : found->second.crashes) {
            crash.disprovedAt = crash.isDisproved ? crash.disprovedAt : now;
            crash.isDisproved = true;
        }
        found->second.changedAt = now;
        hasChanged = true;
    }
    if (hasChanged) {
        updateGroups(now);
    }
}

void CrashAttribution::merge(std::span<const TraitEvidence> evidence, TimePoint now)
{
    bool hasChanged = false;
    for (const auto &received : evidence) {
        for (const auto &crash : received.crashes) {
            if (crash.age >= retention()) {
                continue;
            }
            const auto at = now - crash.age;
            const bool isDisproved = crash.isDisproved || wasAnsweredSince(received.trait, at - settings_.recentAnswerTime);
            if (mergeCrash(received.trait, {crash.id, at, isDisproved, now}, now)) {
                traits_.at(received.trait).changedAt = now;
                hasChanged = true;
            }
        }
    }
    if (hasChanged) {
        updateGroups(now);
    }
}

/// Returns whether the evidence has changed.
bool CrashAttribution::mergeCrash(TraitId trait, const Crash &crash, TimePoint now)
{
    auto *entry = findOrAdd(trait);
    if (entry == nullptr) {
        return false;
    }
    auto &crashes = entry->crashes;
    const auto known = std::find_if(crashes.begin(), crashes.end(), [&crash](const Crash &each) { return each.id == crash.id; });
    if (known != crashes.end()) {
        const bool isNewlyDisproved = crash.isDisproved && !known->isDisproved;
        if (isNewlyDisproved) {
            known->isDisproved = true;
            known->disprovedAt = now;
        } else if (known->isDisproved && !crash.isDisproved) {
            // The sender has missed the answer and is told again.
            entry->changedAt = now;
        }
        // The earliest time is kept: each message makes the crash seem later by its delay.
        known->at = std::min(known->at, crash.at);
        sortByTime(crashes);
        return isNewlyDisproved;
    }
    if (crashes.size() >= settings_.maxCrashesPerTrait) {
        if (crash.at <= crashes.front().at) {
            return false;
        }
        crashes.erase(crashes.begin());
    }
    crashes.push_back(crash);
    sortByTime(crashes);
    return true;
}

/// When there is no space, replaces the trait with the fewest and oldest crashes. Returns null when all others have several crashes.
CrashAttribution::Trait *CrashAttribution::findOrAdd(TraitId trait)
{
    if (const auto found = traits_.find(trait); found != traits_.end()) {
        return &found->second;
    }
    if (traits_.size() >= settings_.maxTraits) {
        const auto least = std::min_element(traits_.begin(), traits_.end(), [](const auto &left, const auto &right) {
            const auto leftCount = left.second.activeCount();
            const auto rightCount = right.second.activeCount();
            return leftCount != rightCount ? leftCount < rightCount : left.second.lastActiveAt() < right.second.lastActiveAt();
        });
        if (least->second.activeCount() > 1) {
            return nullptr;
        }
        traits_.erase(least);
    }
    return &traits_[trait];
}

void CrashAttribution::setQuarantineTime(Duration time, TimePoint now)
{
    settings_.quarantineTime = time;
    updateGroups(now);
}

Duration CrashAttribution::quarantineLeft(std::span<const TraitId> traits, TimePoint now) const
{
    Duration left{};
    for (const auto &group : groups_) {
        if (containsAll(traits, group.traits)) {
            left = std::max(left, group.lastCrashAt + settings_.quarantineTime - now);
        }
    }
    return left;
}

bool CrashAttribution::isSuspect(std::span<const TraitId> traits, CrashId except) const
{
    return std::any_of(traits.begin(), traits.end(), [this, except](TraitId trait) {
        const auto found = traits_.find(trait);
        return found != traits_.end() && std::any_of(found->second.crashes.begin(), found->second.crashes.end(), [except](const Crash &crash) {
                   return !crash.isDisproved && crash.id != except;
               });
    });
}

std::vector<TraitEvidence> CrashAttribution::evidence(bool all, TimePoint now) const
{
    std::vector<std::pair<TraitId, const Trait *>> chosen;
    for (const auto &[id, trait] : traits_) {
        if (now - trait.changedAt < settings_.sendTime || (all && trait.activeCount() > 0)) {
            chosen.emplace_back(id, &trait);
        }
    }
    std::sort(chosen.begin(), chosen.end(), [](const auto &left, const auto &right) {
        return std::pair(left.second->activeCount(), left.second->changedAt) > std::pair(right.second->activeCount(), right.second->changedAt);
    });
    std::vector<TraitEvidence> result;
    result.reserve(chosen.size());
    for (const auto &[id, trait] : chosen) {
        auto &evidence = result.emplace_back(TraitEvidence{id, {}});
        for (const auto &crash : trait->crashes) {
            evidence.crashes.push_back({crash.id, std::max(Duration{}, now - crash.at), crash.isDisproved});
        }
    }
    return result;
}

void CrashAttribution::expire(TimePoint now)
{
    startWindow(now);
    for (auto &[id, trait] : traits_) {
        std::erase_if(trait.crashes,
                      [this, now](const Crash &crash) { return now - crash.at >= (crash.isDisproved ? settings_.disprovedRetention : settings_.retention); });
    }
    std::erase_if(traits_, [](const auto &entry) { return entry.second.crashes.empty(); });
    updateGroups(now);
}

/// Number of times at which a server was lost, where losses at about the same time count once.
unsigned CrashAttribution::countBursts(const Trait &trait) const
{
    unsigned count = 0;
    TimePoint last{};
    for (const auto &crash : trait.crashes) {
        if (crash.isDisproved || (count > 0 && crash.at - last < settings_.burstTime)) {
            continue;
        }
        last = crash.at;
        ++count;
    }
    return count;
}

void CrashAttribution::startWindow(TimePoint now)
{
    if (now - countsStartedAt_ < settings_.lossWindow) {
        return;
    }
    earlierCounts_ = now - countsStartedAt_ < 2 * settings_.lossWindow ? counts_ : RequestCounts();
    counts_ = {};
    countsStartedAt_ = now;
}

double CrashAttribution::lossShare() const
{
    const double lost = counts_.lost + earlierCounts_.lost;
    const double answered = counts_.answered + earlierCounts_.answered;
    return lost / (lost + answered + AssumedAnswers);
}

/// The smallest number of crashes that has the permitted error probability when each request loses its server with the measured share.
unsigned CrashAttribution::crashesNeeded() const
{
    const double share = lossShare();
    if (share <= 0) {
        return settings_.minCrashes;
    }
    const double needed = std::ceil(std::log(settings_.maxErrorProbability) / std::log(share));
    return std::max(settings_.minCrashes, static_cast<unsigned>(std::min(needed, MaxCrashesNeeded)));
}

bool CrashAttribution::isQuarantined(TraitId id, const Trait &trait, TimePoint now) const
{
    if (countBursts(trait) < crashesNeeded() || now - trait.lastActiveAt() >= settings_.quarantineTime) {
        return false;
    }
    const auto crashes = trait.activeIds();
    const bool isCoveredByOther = std::any_of(traits_.begin(), traits_.end(), [id, &crashes](const auto &other) {
        const auto others = other.second.activeIds();
        return other.first != id && others.size() > crashes.size() && std::includes(others.begin(), others.end(), crashes.begin(), crashes.end());
    });
    return !isCoveredByOther;
}

std::vector<CrashAttribution::Group> CrashAttribution::findGroups(TimePoint now) const
{
    std::vector<Group> groups;
    for (const auto &[id, trait] : traits_) {
        if (!isQuarantined(id, trait, now)) {
            continue;
        }
        auto crashes = trait.activeIds();
        const auto same = std::find_if(groups.begin(), groups.end(), [&crashes](const Group &group) { return group.crashes == crashes; });
        if (same == groups.end()) {
            groups.push_back({{id}, std::move(crashes), trait.lastActiveAt()});
        } else {
            same->traits.push_back(id);
        }
    }
    for (auto &group : groups) {
        std::sort(group.traits.begin(), group.traits.end());
    }
    return groups;
}

void CrashAttribution::updateGroups(TimePoint now)
{
    auto groups = findGroups(now);
    const auto contains = [](std::span<const Group> list, const Group &wanted) {
        return std::any_of(list.begin(), list.end(), [&wanted](const Group &group) { return group.traits == wanted.traits; });
    };
    for (const auto &group : groups_) {
        if (!contains(groups, group)) {
            changes_.push_back({group.traits, false, group.crashes.size()});
        }
    }
    for (const auto &group : groups) {
        if (!contains(groups_, group)) {
            changes_.push_back({group.traits, true, group.crashes.size()});
        }
    }
    groups_ = std::move(groups);
}

std::vector<CrashAttribution::Change> CrashAttribution::takeChanges()
{
    return std::exchange(changes_, {});
}

}
