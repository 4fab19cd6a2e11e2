// SharedState: merges the observations of backend servers. The reconciliation is in shared_state.cpp.
#include "membership/shared_state.h"

#include <algorithm>
#include <map>

namespace carawaypoint
{

TimePoint SharedState::lastSeenInOtherZone(const ZoneId &zone, const std::string &vm, TimePoint now) const
{
    TimePoint seen{};
    const auto addFreshness = [&](const OwnerState &owner) {
        if (owner.zone != self_.zone || owner.lastSeen == TimePoint{} || now - owner.lastSeen > MaxStampAge) {
            return;
        }
        const auto entry = owner.entries.find({EntryKind::ZoneFreshness, zone.str()});
        if (entry == owner.entries.end() || entry->second.isRemoved) {
            return;
        }
        const auto missing = owner.entries.find({EntryKind::ZoneMissing, vm});
        if (missing != owner.entries.end() && !missing->second.isRemoved) {
            return;
        }
        // Computed relative to the owner's stamp, since stamps wrap. The owner removes the entry when it is older than MaxStampAge.
        const auto number = static_cast<std::uint16_t>(entry->second.number);
        const auto difference = static_cast<std::int16_t>(number - static_cast<std::uint16_t>(owner.ticks));
        seen = std::max(seen, owner.lastSeen + StampUnit * difference);
    };
    addFreshness(ownState_);
    for (const auto &[key, owner] : owners_) {
        addFreshness(owner);
    }
    return seen;
}

void SharedState::addLoads(std::map<std::string, ObservedServer> &servers) const
{
    std::map<std::string, TimePoint> reportedAt;
    const auto add = [&](const OwnerState &owner) {
        for (auto it = owner.entries.lower_bound({EntryKind::Load, {}}); it != owner.entries.end() && it->first.first == EntryKind::Load; ++it) {
            const auto found = servers.find(it->second.key);
            if (found == servers.end() || it->second.isRemoved || owner.lastSeen < reportedAt[it->second.key]) {
                continue;
            }
            reportedAt[it->second.key] = owner.lastSeen;
            const auto &known = it->second.server;
            auto &state = found->second.state;
            state.running = known.running;
            state.queued = known.queued;
            state.runningLong = known.runningLong;
            state.tokensPerSecond = known.tokensPerSecond;
        }
    };
    add(ownState_);
    for (const auto &[key, owner] : owners_) {
        add(owner);
    }
}

std::vector<ObservedServer> SharedState::observations(TimePoint now) const
{
    std::map<std::string, ObservedServer> servers;
    const auto add = [&](const OwnerState &owner) {
        for (auto it = owner.entries.lower_bound({EntryKind::Observation, {}}); it != owner.entries.end() && it->first.first == EntryKind::Observation; ++it) {
            const auto &entry = it->second;
            if (entry.isRemoved) {
                continue;
            }
            TimePoint seen{};
            if (entry.server.isSeen) {
                seen = owner.zone == self_.zone ? owner.lastSeen : lastSeenInOtherZone(owner.zone, entry.key, now);
            }
            const auto [known, isNew] = servers.try_emplace(entry.key);
            auto &server = known->second;
            const bool isLeaving = server.state.isLeaving || entry.server.isLeaving;
            if (isNew || seen > server.lastSeen || (seen == server.lastSeen && entry.server.fencing > server.state.fencing)) {
                server = {VmId(entry.key), owner.zone, entry.server, std::min(seen, now)};
            }
            server.state.isLeaving = isLeaving; // one prober that reports it is enough
        }
    };
    add(ownState_);
    for (const auto &[key, owner] : owners_) {
        add(owner);
    }
    addLoads(servers);
    std::vector<ObservedServer> result;
    result.reserve(servers.size());
    for (auto &[vm, server] : servers) {
        result.push_back(std::move(server));
    }
    return result;
}

ZoneSummary SharedState::summarise(TimePoint now, Duration bound) const
{
    ZoneSummary summary;
    summary.isPresent = true;
    auto oldest = now;
    for (const auto &server : observations(now)) {
        if (server.zone != self_.zone) {
            continue;
        }
        if (now - server.lastSeen > bound) {
            summary.missing.push_back(server.vm.str());
        } else {
            oldest = std::min(oldest, server.lastSeen);
        }
    }
    summary.isFresh = summary.missing.size() <= MaxMissingInSummary;
    if (!summary.isFresh) {
        summary.missing.clear();
    }
    summary.ageMs = static_cast<std::uint32_t>((now - oldest) / milliseconds(1));
    return summary;
}

}
