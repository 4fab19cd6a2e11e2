#include "gateway/backend_load_tracker.h"

#include <algorithm>
#include <utility>

namespace carawaypoint
{

void BackendLoad::add(const BackendLoad &other)
{
    requests += other.requests;
    pendingPrefillTokens += other.pendingPrefillTokens;
    isStalled = isStalled || other.isStalled;
    isProgressing = isProgressing || other.isProgressing;
}

BackendLoadTracker::BackendLoadTracker(BackendLoadTrackerSettings settings)
    : settings_(settings)
{
}

void BackendLoadTracker::recordRequestStart(const VmId &server, ReroutableCall *stream, unsigned promptTokens)
{
    auto &backend = backends_[server];
    ++backend.own;
    backend.pendingPrefillTokens += promptTokens;
    if (stream != nullptr) {
        if (backend.streams.empty()) {
            backend.quietTicks = 0;
        }
        backend.streams.insert(stream);
    }
}

void BackendLoadTracker::recordPrefillEnd(const VmId &server, unsigned promptTokens)
{
    auto &backend = backends_[server];
    backend.pendingPrefillTokens -= std::min(backend.pendingPrefillTokens, promptTokens);
}

void BackendLoadTracker::recordRequestEnd(const VmId &server, ReroutableCall *stream, unsigned pendingPrefillTokens)
{
    recordPrefillEnd(server, pendingPrefillTokens);
    const auto found = backends_.find(server);
    if (found == backends_.end()) {
        return;
    }
    auto &backend = found->second;
    backend.own -= backend.own > 0 ? 1 : 0;
    backend.streams.erase(stream);
}

void BackendLoadTracker::recordProgress(const VmId &server)
{
    auto &backend = backends_[server];
    backend.quietTicks = 0;
    if (std::exchange(backend.isStalled, false)) {
        backend.backoffUntil = {}; // it was only silent for a while
    }
    backend.ticksSinceEvent = 0;
    backend.hadEvents = true;
}

void BackendLoadTracker::recordStatedLoad(const VmId &server, unsigned requests, TimePoint now)
{
    auto &backend = backends_[server];
    backend.stated = StatedPeerRequests{requests - std::min(requests, backend.own), now};
}

bool BackendLoadTracker::isProgressing(const Backend &backend) const
{
    return backend.hadEvents && backend.ticksSinceEvent < settings_.progressTicks;
}

bool BackendLoadTracker::isProgressingAtPeer(const VmId &server) const
{
    const auto peers = peerLoadSums_.find(server);
    return peers != peerLoadSums_.end() && peers->second.isProgressing;
}

void BackendLoadTracker::rerouteStreams(const Backend &backend)
{
    // Rerouting a request may change the set.
    const std::vector<ReroutableCall *> calls(backend.streams.begin(), backend.streams.end());
    for (auto *call : calls) {
        call->reroute();
    }
}

void BackendLoadTracker::recordFailure(const VmId &server, TimePoint now)
{
    auto &backend = backends_[server];
    backend.backoffUntil = now + settings_.failureBackoff * (1U << std::min(backend.failures, settings_.maxBackoffDoublings));
    ++backend.failures;
}

void BackendLoadTracker::recordSuccess(const VmId &server)
{
    auto &backend = backends_[server];
    backend.failures = 0;
    backend.backoffUntil = {};
}

void BackendLoadTracker::recordLinksLost()
{
    stalled_.clear();
    std::vector<ReroutableCall *> calls;
    for (auto &[server, backend] : backends_) {
        backend.failures = 0;
        backend.backoffUntil = {};
        backend.isStalled = false;
        // Those that cannot be rerouted may still be answered over connections that live on. They are no evidence of a stall.
        const auto streams = std::exchange(backend.streams, {});
        calls.insert(calls.end(), streams.begin(), streams.end());
    }
    for (auto *call : calls) {
        call->reroute();
    }
}

void BackendLoadTracker::tick(TimePoint now)
{
    const bool isLate = lastTick_ != TimePoint{} && now - lastTick_ > 2 * settings_.tick;
    lastTick_ = now;
    for (auto &[server, backend] : backends_) {
        if (backend.stated && now - backend.stated->at > settings_.statedLoadTime) {
            backend.stated.reset();
        }
    }
    if (!isLate) {
        // Rerouting a request changes entries of the map, so iterates over a copy of its keys.
        std::vector<VmId> servers;
        servers.reserve(backends_.size());
        for (const auto &[server, backend] : backends_) {
            servers.push_back(server);
        }
        for (const auto &server : servers) {
            tickBackend(server, backends_[server], now);
        }
    }
    const auto before = peers_.size();
    std::erase_if(peers_, [&](const auto &entry) { return now - entry.second.at > settings_.peerTimeout; });
    if (peers_.size() != before) {
        sumPeerLoads();
    }
}

void BackendLoadTracker::tickBackend(const VmId &server, Backend &backend, TimePoint now)
{
    ++backend.ticksSinceEvent;
    if (backend.streams.empty()) {
        backend.quietTicks = 0;
        if (backend.isStalled && now >= backend.backoffUntil) {
            backend.isStalled = false;
        }
        return;
    }
    ++backend.quietTicks;
    const bool hasStarted = std::any_of(backend.streams.begin(), backend.streams.end(), [](const ReroutableCall *call) { return call->hasStarted(); });
    if (backend.quietTicks < (hasStarted ? settings_.stallTicks : settings_.stallTicksBeforeFirstEvent)) {
        return;
    }
    if (isProgressingAtPeer(server)) {
        if (backend.quietTicks == settings_.localStallTicks) {
            backend.backoffUntil = now + settings_.failureBackoff;
            rerouteStreams(backend);
        }
        return;
    }
    if (!std::exchange(backend.isStalled, true)) {
        stalled_.push_back(server);
    }
    backend.backoffUntil = now + settings_.stallBackoff;
    rerouteStreams(backend);
}

void BackendLoadTracker::setPeerLoads(const MemberId &peer, std::vector<BackendLoad> loads, TimePoint now)
{
    for (const auto &load : loads) {
        const auto known = peerLoadSums_.find(load.server);
        if (load.isStalled && !load.isProgressing && (known == peerLoadSums_.end() || !known->second.isStalled)) {
            stalled_.push_back(load.server);
        }
    }
    peers_[peer] = {std::move(loads), now};
    sumPeerLoads();
}

void BackendLoadTracker::dropPeerLoads()
{
    peers_.clear();
    sumPeerLoads();
}

void BackendLoadTracker::sumPeerLoads()
{
    peerLoadSums_.clear();
    for (const auto &[peer, entry] : peers_) {
        for (const auto &load : entry.loads) {
            peerLoadSums_[load.server].add(load);
        }
    }
}

std::vector<BackendLoad> BackendLoadTracker::ownLoads() const
{
    std::vector<BackendLoad> loads;
    for (const auto &[server, backend] : backends_) {
        if (backend.own > 0 || backend.isStalled || isProgressing(backend)) {
            loads.push_back({server, backend.own, backend.pendingPrefillTokens, backend.isStalled, isProgressing(backend)});
        }
    }
    return loads;
}

std::vector<VmId> BackendLoadTracker::takeStalled()
{
    return std::exchange(stalled_, {});
}

unsigned BackendLoadTracker::requestsAt(const VmId &server) const
{
    unsigned requests = 0;
    if (const auto own = backends_.find(server); own != backends_.end()) {
        requests += own->second.own;
        if (own->second.stated) {
            return requests + own->second.stated->requests;
        }
    }
    if (const auto peers = peerLoadSums_.find(server); peers != peerLoadSums_.end()) {
        requests += peers->second.requests;
    }
    return requests;
}

double BackendLoadTracker::loadOf(const ServingTarget &target) const
{
    return static_cast<double>(requestsAt(target.server)) / std::max(1U, target.slots);
}

double BackendLoadTracker::prefillSeconds(const ServingTarget &target) const
{
    if (target.prefillTokensPerSecond <= 0) {
        return 0;
    }
    unsigned tokens = 0;
    if (const auto own = backends_.find(target.server); own != backends_.end()) {
        tokens += own->second.pendingPrefillTokens;
    }
    if (const auto peers = peerLoadSums_.find(target.server); peers != peerLoadSums_.end()) {
        tokens += peers->second.pendingPrefillTokens;
    }
    return tokens / target.prefillTokensPerSecond;
}

bool BackendLoadTracker::isStalled(const VmId &server) const
{
    if (isProgressingAtPeer(server)) {
        return false;
    }
    const auto own = backends_.find(server);
    const auto peers = peerLoadSums_.find(server);
    return (own != backends_.end() && own->second.isStalled) || (peers != peerLoadSums_.end() && peers->second.isStalled);
}

bool BackendLoadTracker::isInBackoff(const VmId &server, TimePoint now) const
{
    const auto own = backends_.find(server);
    return own != backends_.end() && own->second.backoffUntil > now;
}

}
