#include "gateway/backend_load_tracker.h"

#include <algorithm>
#include <array>
#include <numeric>
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

double BackendLoadTracker::loadLimit(const ServingTarget &target, RequestStage stage) const
{
    if (target.replica.isEmpty()) {
        return settings_.maxPlainLoad;
    }
    // Indexed by RequestStage.
    const std::array limits{settings_.maxLoad, settings_.maxLoadForRetries, settings_.maxLoadForStartedStreams};
    return limits.at(static_cast<std::size_t>(stage));
}

const BackendLoadTracker::Candidate &BackendLoadTracker::pickLowest(std::span<const Candidate> candidates)
{
    return *std::min_element(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) { return left.score < right.score; });
}

/// Distributes @p requests so that they fill the targets to the same level, and draws a target with the probability of its share.
/// Only targets in @p connected are drawn if any of them has a share.
BackendLoadTracker::Candidate
BackendLoadTracker::pickByWaterFilling(std::vector<Candidate> candidates, double requests, std::span<const VmId> connected, std::mt19937_64 &random)
{
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) { return left.score < right.score; });
    double slots = 0;
    double used = 0;
    double level = 0;
    for (std::size_t rank = 0; rank < candidates.size(); ++rank) {
        const auto &candidate = candidates[rank];
        if (rank > 0 && level <= candidate.score) {
            break;
        }
        slots += candidate.target->slots;
        used += candidate.target->slots * candidate.score;
        level = (requests + used) / slots;
    }
    std::vector<double> shares;
    std::vector<double> connectedShares;
    shares.reserve(candidates.size());
    connectedShares.reserve(candidates.size());
    for (const auto &candidate : candidates) {
        const bool isConnected = std::find(connected.begin(), connected.end(), candidate.target->server) != connected.end();
        shares.push_back(candidate.target->slots * std::max(0.0, level - candidate.score));
        connectedShares.push_back(isConnected ? shares.back() : 0);
    }
    if (std::any_of(connectedShares.begin(), connectedShares.end(), [](double share) { return share > 0; })) {
        shares = std::move(connectedShares);
    }
    std::discrete_distribution<std::size_t> distribution(shares.begin(), shares.end());
    return candidates[distribution(random)];
}

BackendLoadTracker::Choice BackendLoadTracker::choose(std::span<const ServingTarget> targets,
                                                      const ZoneId &zone,
                                                      std::span<const VmId> excluded,
                                                      TimePoint now,
                                                      std::mt19937_64 &random,
                                                      RequestStage stage,
                                                      const StalenessEstimate &staleness,
                                                      std::span<const VmId> connected) const
{
    std::vector<Candidate> healthy;
    std::vector<Candidate> inBackoff; // failed recently, but not stalled
    double leastLoad = -1;
    std::uniform_real_distribution<double> jitter(0, settings_.maxJitter);
    for (const auto &target : targets) {
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), target.server) != excluded.end();
        if (isExcluded || isStalled(target.server)) {
            continue;
        }
        const double load = loadOf(target) * (1 - staleness.endedShare);
        leastLoad = leastLoad < 0 ? load : std::min(leastLoad, load);
        const double prefill = prefillSeconds(target);
        const double prefillLoad = stage == RequestStage::StreamStarted ? 0 : settings_.prefillSlotShare * prefill;
        const double freeCapacity = (loadLimit(target, stage) - load - prefillLoad) * target.slots;
        if (freeCapacity <= 0) {
            continue;
        }
        const double score = load + settings_.prefillWeight * prefill + (target.zone == zone ? 0 : settings_.remoteZonePenalty) + jitter(random);
        const auto own = backends_.find(target.server);
        const bool isInBackoff = own != backends_.end() && own->second.backoffUntil > now;
        (isInBackoff ? inBackoff : healthy).push_back({&target, load, score, freeCapacity});
    }
    auto &candidates = healthy.empty() ? inBackoff : healthy;
    const double freeCapacity =
        std::accumulate(candidates.begin(), candidates.end(), 0.0, [](double sum, const Candidate &each) { return sum + each.freeCapacity; });
    const double admittedShare = staleness.startedRequests <= freeCapacity ? 1 : freeCapacity / staleness.startedRequests;
    const bool isAdmitted = stage == RequestStage::StreamStarted || std::bernoulli_distribution(admittedShare)(random);
    if (candidates.empty() || !isAdmitted) {
        return {nullptr, leastLoad >= 0, std::max(0.0, leastLoad), freeCapacity, staleness.startedRequests};
    }
    const auto chosen =
        staleness.startedRequests > 1 ? pickByWaterFilling(std::move(candidates), staleness.startedRequests, connected, random) : pickLowest(candidates);
    return {chosen.target, false, chosen.load, freeCapacity, staleness.startedRequests};
}

}
