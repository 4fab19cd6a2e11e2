#include "gateway/server_registry.h"

#include "observe/log.h"

#include <algorithm>
#include <utility>

namespace carawaypoint
{

ServerRegistry::ServerRegistry(ServerRegistrySettings settings)
    : settings_(settings)
{
}

bool ServerRegistry::mustDeferRemovals(TimePoint now) const
{
    return remainingDeferral(now) > Duration{};
}

void ServerRegistry::deferRemovalsUntil(TimePoint end)
{
    deferredUntil_ = std::max(deferredUntil_, end);
}

Duration ServerRegistry::remainingDeferral(TimePoint now) const
{
    if (isStoreFailing_) {
        return settings_.reregistrationGracePeriod;
    }
    const auto ownEnd = storeRecoveredAt_ ? *storeRecoveredAt_ + settings_.reregistrationGracePeriod : TimePoint{};
    return std::max(Duration{}, std::max(ownEnd, deferredUntil_) - now);
}

void ServerRegistry::recordRestoration(TimePoint now)
{
    // What was registered since the copy was made is missing until the servers write it again.
    recordStoreFailure();
    recordStoreAnswer(now);
    restorationEnd_ = now + settings_.restorationTime;
}

bool ServerRegistry::isKnownToLeave(const BackendServer &listed) const
{
    const auto known = servers_.find(listed.id);
    if (known != servers_.end()) {
        return known->second.isLeaving && known->second.startedAt == listed.startedAt;
    }
    const auto departed = departures_.find(listed.id);
    return departed != departures_.end() && departed->second.startedAt == listed.startedAt;
}

/// Takes the servers that are known to leave or to be gone out of @p listed, or replaces them by what is known.
void ServerRegistry::withholdOutdated(ServerMap &listed)
{
    withheld_.clear();
    for (auto entry = listed.begin(); entry != listed.end();) {
        auto &[id, server] = *entry;
        if (server.isLeaving || !isKnownToLeave(server)) {
            ++entry;
            continue;
        }
        withheld_.emplace(id, server);
        const auto known = servers_.find(id);
        if (known == servers_.end()) {
            entry = listed.erase(entry);
        } else {
            server = known->second;
            ++entry;
        }
    }
    if (!withheld_.empty()) {
        logLine(LogLevel::Info, "registrations in the restored store are outdated", {{"servers", static_cast<std::uint64_t>(withheld_.size())}});
    }
}

void ServerRegistry::endRestoration()
{
    restorationEnd_.reset();
    for (auto &[id, server] : std::exchange(withheld_, {})) {
        set(std::move(server));
    }
}

void ServerRegistry::recordDeparture(const BackendServer &server, TimePoint now)
{
    departures_[server.id] = {server.startedAt, now};
}

void ServerRegistry::replaceAll(ServerMap servers, TimePoint now)
{
    if (restorationEnd_) {
        withholdOutdated(servers);
    }
    auto before = std::exchange(servers_, std::move(servers));
    deferredRemovals_.clear();
    isChanged_ = true;
    std::erase_if(lapsedSince_, [this](const auto &entry) { return servers_.contains(entry.first); });
    for (auto &[id, server] : before) {
        if (servers_.contains(id)) {
            continue;
        }
        servers_.emplace(id, std::move(server));
        remove(id, now);
    }
}

void ServerRegistry::set(BackendServer server)
{
    deferredRemovals_.erase(server.id);
    lapsedSince_.erase(server.id);
    withheld_.erase(server.id);
    auto &known = servers_[server.id];
    if (known != server) {
        known = std::move(server);
        isChanged_ = true;
    }
}

void ServerRegistry::remove(const VmId &id, TimePoint now)
{
    withheld_.erase(id);
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    // A server that has announced that it leaves does not register again.
    if (mustDeferRemovals(now) && !found->second.isLeaving) {
        deferredRemovals_.insert(id);
        return;
    }
    applyRemoval(id, now);
}

void ServerRegistry::discard(const VmId &id)
{
    deferredRemovals_.erase(id);
    lapsedSince_.erase(id);
    withheld_.erase(id);
    isChanged_ = servers_.erase(id) > 0 || isChanged_;
}

void ServerRegistry::applyRemoval(const VmId &id, TimePoint now)
{
    deferredRemovals_.erase(id);
    const auto found = servers_.find(id);
    if (found == servers_.end() || found->second.isRegistrationLapsed) {
        return;
    }
    isChanged_ = true;
    auto &server = found->second;
    const bool isMember = server.membership && server.membership->rank > 0 && server.membership->state == MembershipState::Ready;
    if (!isMember || server.isLeaving) {
        recordDeparture(server, now);
        servers_.erase(found);
        return;
    }
    server.isRegistrationLapsed = true;
    lapsedSince_[id] = now;
}

void ServerRegistry::recordStoreFailure()
{
    isStoreFailing_ = true;
}

void ServerRegistry::recordStoreAnswer(TimePoint now)
{
    if (std::exchange(isStoreFailing_, false)) {
        storeRecoveredAt_ = now;
    }
}

bool ServerRegistry::takeChange(TimePoint now)
{
    if (restorationEnd_ && now >= *restorationEnd_) {
        endRestoration();
    }
    std::erase_if(departures_, [&](const auto &entry) { return now - entry.second.at >= settings_.departureMemory; });
    if (!mustDeferRemovals(now)) {
        for (const auto &id : std::exchange(deferredRemovals_, {})) {
            applyRemoval(id, now);
        }
    }
    std::erase_if(lapsedSince_, [&](const auto &entry) {
        const bool isOver = now - entry.second >= settings_.lapsedMemberRetention;
        if (isOver) {
            recordDeparture(servers_.at(entry.first), now);
            servers_.erase(entry.first);
            isChanged_ = true;
        }
        return isOver;
    });
    return std::exchange(isChanged_, false);
}

}
