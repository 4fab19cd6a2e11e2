#include "gateway/server_registry.h"

#include <algorithm>
#include <utility>

namespace carawaypoint
{

ServerRegistry::ServerRegistry(ServerRegistrySettings settings)
    : settings_(settings)
{
}

bool ServerRegistry::mustDefer(TimePoint now) const
{
    return unsettledTime(now) > Duration{};
}

void ServerRegistry::deferUntil(TimePoint end)
{
    deferredUntil_ = std::max(deferredUntil_, end);
}

Duration ServerRegistry::unsettledTime(TimePoint now) const
{
    if (isFailing_) {
        return settings_.returnTime;
    }
    const auto ownEnd = returnedAt_ ? *returnedAt_ + settings_.returnTime : TimePoint{};
    return std::max(Duration{}, std::max(ownEnd, deferredUntil_) - now);
}

void ServerRegistry::replaceAll(ServerMap servers, TimePoint now)
{
    auto before = std::exchange(servers_, std::move(servers));
    removals_.clear();
    isChanged_ = true;
    std::erase_if(unlistedSince_, [this](const auto &entry) { return servers_.contains(entry.first); });
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
    removals_.erase(server.id);
    unlistedSince_.erase(server.id);
    auto &known = servers_[server.id];
    if (known != server) {
        known = std::move(server);
        isChanged_ = true;
    }
}

void ServerRegistry::remove(const VmId &id, TimePoint now)
{
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    // A server that said it leaves does not come back.
    if (mustDefer(now) && !found->second.isLeaving) {
        removals_.insert(id);
        return;
    }
    drop(id, now);
}

void ServerRegistry::drop(const VmId &id, TimePoint now)
{
    removals_.erase(id);
    const auto found = servers_.find(id);
    if (found == servers_.end() || found->second.isUnlisted) {
        return;
    }
    isChanged_ = true;
    auto &server = found->second;
    const bool isMember = server.membership && server.membership->rank > 0 && server.membership->state == MembershipState::Ready;
    if (!isMember || server.isLeaving) {
        servers_.erase(found);
        return;
    }
    server.isUnlisted = true;
    unlistedSince_[id] = now;
}

void ServerRegistry::noteStoreFailure()
{
    isFailing_ = true;
}

void ServerRegistry::noteStoreAnswer(TimePoint now)
{
    if (std::exchange(isFailing_, false)) {
        returnedAt_ = now;
    }
}

bool ServerRegistry::takeChange(TimePoint now)
{
    if (!mustDefer(now)) {
        for (const auto &id : std::exchange(removals_, {})) {
            drop(id, now);
        }
    }
    std::erase_if(unlistedSince_, [&](const auto &entry) {
        const bool isOver = now - entry.second >= settings_.unlistedTime;
        if (isOver) {
            servers_.erase(entry.first);
            isChanged_ = true;
        }
        return isOver;
    });
    return std::exchange(isChanged_, false);
}

}
