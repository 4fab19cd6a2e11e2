#include "gateway/backend_book.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

namespace carawaypoint
{

void BackendLoad::add(const BackendLoad &other)
{
    requests += other.requests;
    unreadTokens += other.unreadTokens;
    isStalled = isStalled || other.isStalled;
    isProgressing = isProgressing || other.isProgressing;
}

BackendBook::BackendBook(BackendBookSettings settings)
    : settings_(settings)
{
}

void BackendBook::begin(const VmId &server, MovableCall *stream, unsigned promptTokens)
{
    auto &backend = backends_[server];
    ++backend.own;
    backend.unreadTokens += promptTokens;
    if (stream != nullptr) {
        if (backend.streams.empty()) {
            backend.quietTicks = 0;
        }
        backend.streams.insert(stream);
    }
}

void BackendBook::noteRead(const VmId &server, unsigned promptTokens)
{
    auto &backend = backends_[server];
    backend.unreadTokens -= std::min(backend.unreadTokens, promptTokens);
}

void BackendBook::end(const VmId &server, MovableCall *stream, unsigned unreadTokens)
{
    noteRead(server, unreadTokens);
    const auto found = backends_.find(server);
    if (found == backends_.end()) {
        return;
    }
    auto &backend = found->second;
    backend.own -= backend.own > 0 ? 1 : 0;
    backend.streams.erase(stream);
}

void BackendBook::noteProgress(const VmId &server)
{
    auto &backend = backends_[server];
    backend.quietTicks = 0;
    backend.isStalled = false;
    backend.ticksSinceEvent = 0;
    backend.hadEvents = true;
}

bool BackendBook::isProgressing(const Backend &backend) const
{
    return backend.hadEvents && backend.ticksSinceEvent < settings_.progressTicks;
}

bool BackendBook::isProgressingElsewhere(const VmId &server) const
{
    const auto peers = peerSums_.find(server);
    return peers != peerSums_.end() && peers->second.isProgressing;
}

void BackendBook::moveStreams(const Backend &backend)
{
    // Moving a call may change the set.
    const std::vector<MovableCall *> calls(backend.streams.begin(), backend.streams.end());
    for (auto *call : calls) {
        call->moveAway();
    }
}

void BackendBook::noteFailure(const VmId &server, TimePoint now)
{
    auto &backend = backends_[server];
    backend.avoidUntil = now + settings_.failureAvoidTime * (1U << std::min(backend.failures, settings_.maxFailureDoublings));
    ++backend.failures;
}

void BackendBook::noteSuccess(const VmId &server)
{
    auto &backend = backends_[server];
    backend.failures = 0;
    backend.avoidUntil = {};
}

void BackendBook::tick(TimePoint now)
{
    const bool isLate = lastTick_ != TimePoint{} && now - lastTick_ > 2 * settings_.tick;
    lastTick_ = now;
    if (!isLate) {
        // Moving a call changes the map's entries, but adds none: the key list is fixed first.
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
        sumPeers();
    }
}

void BackendBook::tickBackend(const VmId &server, Backend &backend, TimePoint now)
{
    ++backend.ticksSinceEvent;
    if (backend.streams.empty()) {
        backend.quietTicks = 0;
        if (backend.isStalled && now >= backend.avoidUntil) {
            backend.isStalled = false;
        }
        return;
    }
    ++backend.quietTicks;
    const bool hasBegun = std::any_of(backend.streams.begin(), backend.streams.end(), [](const MovableCall *call) { return call->hasBegun(); });
    if (backend.quietTicks < (hasBegun ? settings_.silentTicks : settings_.silentTicksUnbegun)) {
        return;
    }
    if (isProgressingElsewhere(server)) {
        if (backend.quietTicks == settings_.silentTicksAlone) {
            backend.avoidUntil = now + settings_.failureAvoidTime;
            moveStreams(backend);
        }
        return;
    }
    if (!std::exchange(backend.isStalled, true)) {
        stalled_.push_back(server);
    }
    backend.avoidUntil = now + settings_.stallAvoidTime;
    moveStreams(backend);
}

void BackendBook::setPeerLoads(const MemberId &peer, std::vector<BackendLoad> loads, TimePoint now)
{
    for (const auto &load : loads) {
        const auto known = peerSums_.find(load.server);
        if (load.isStalled && !load.isProgressing && (known == peerSums_.end() || !known->second.isStalled)) {
            stalled_.push_back(load.server);
        }
    }
    peers_[peer] = {std::move(loads), now};
    sumPeers();
}

void BackendBook::sumPeers()
{
    peerSums_.clear();
    for (const auto &[peer, entry] : peers_) {
        for (const auto &load : entry.loads) {
            peerSums_[load.server].add(load);
        }
    }
}

std::vector<BackendLoad> BackendBook::ownLoads() const
{
    std::vector<BackendLoad> loads;
    for (const auto &[server, backend] : backends_) {
        if (backend.own > 0 || backend.isStalled || isProgressing(backend)) {
            loads.push_back({server, backend.own, backend.unreadTokens, backend.isStalled, isProgressing(backend)});
        }
    }
    return loads;
}

std::vector<VmId> BackendBook::takeStalled()
{
    return std::exchange(stalled_, {});
}

double BackendBook::loadOf(const ServingTarget &target) const
{
    unsigned requests = 0;
    if (const auto own = backends_.find(target.server); own != backends_.end()) {
        requests += own->second.own;
    }
    if (const auto peers = peerSums_.find(target.server); peers != peerSums_.end()) {
        requests += peers->second.requests;
    }
    return static_cast<double>(requests) / std::max(1U, target.slots);
}

double BackendBook::readSeconds(const ServingTarget &target) const
{
    if (target.readTokensPerSecond <= 0) {
        return 0;
    }
    unsigned tokens = 0;
    if (const auto own = backends_.find(target.server); own != backends_.end()) {
        tokens += own->second.unreadTokens;
    }
    if (const auto peers = peerSums_.find(target.server); peers != peerSums_.end()) {
        tokens += peers->second.unreadTokens;
    }
    return tokens / target.readTokensPerSecond;
}

bool BackendBook::isStalled(const VmId &server) const
{
    if (isProgressingElsewhere(server)) {
        return false;
    }
    const auto own = backends_.find(server);
    const auto peers = peerSums_.find(server);
    return (own != backends_.end() && own->second.isStalled) || (peers != peerSums_.end() && peers->second.isStalled);
}

double BackendBook::fullLoad(const ServingTarget &target, RequestStage stage) const
{
    if (target.replica.isEmpty()) {
        return settings_.plainFullAtLoad;
    }
    // In the order of RequestStage.
    const std::array limits{settings_.fullAtLoad, settings_.fullForReturned, settings_.fullForMoved};
    return limits.at(static_cast<std::size_t>(stage));
}

const BackendBook::Candidate &BackendBook::pickLowest(std::span<const Candidate> candidates)
{
    return *std::min_element(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) { return left.score < right.score; });
}

/// Spreads @p requests as if they filled the targets to the same level; a target is drawn with the part that it gets.
BackendBook::Candidate BackendBook::pickByLevel(std::vector<Candidate> candidates, double requests, std::mt19937_64 &random)
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
    std::vector<double> parts;
    parts.reserve(candidates.size());
    for (const auto &candidate : candidates) {
        parts.push_back(candidate.target->slots * std::max(0.0, level - candidate.score));
    }
    std::discrete_distribution<std::size_t> distribution(parts.begin(), parts.end());
    return candidates[distribution(random)];
}

BackendBook::Choice BackendBook::choose(std::span<const ServingTarget> targets,
                                        const ZoneId &zone,
                                        std::span<const VmId> excluded,
                                        TimePoint now,
                                        std::mt19937_64 &random,
                                        RequestStage stage,
                                        const CountDrift &drift) const
{
    std::vector<Candidate> sound;
    std::vector<Candidate> avoided; // recently failed, but not stalled
    double leastLoad = -1;
    std::uniform_real_distribution<double> jitter(0, settings_.spread);
    for (const auto &target : targets) {
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), target.server) != excluded.end();
        if (isExcluded || isStalled(target.server)) {
            continue;
        }
        const double load = loadOf(target) * (1 - drift.endedPart);
        leastLoad = leastLoad < 0 ? load : std::min(leastLoad, load);
        const double reading = readSeconds(target);
        const double unread = stage == RequestStage::Begun ? 0 : settings_.unreadRoom * reading;
        const double room = (fullLoad(target, stage) - load - unread) * target.slots;
        if (room <= 0) {
            continue;
        }
        const double score = load + settings_.unreadWeight * reading + (target.zone == zone ? 0 : settings_.remotePenalty) + jitter(random);
        const auto own = backends_.find(target.server);
        const bool isAvoided = own != backends_.end() && own->second.avoidUntil > now;
        (isAvoided ? avoided : sound).push_back({&target, load, score, room});
    }
    auto &candidates = sound.empty() ? avoided : sound;
    const double room = std::accumulate(candidates.begin(), candidates.end(), 0.0, [](double sum, const Candidate &each) { return sum + each.room; });
    const double admittedPart = drift.begun <= room ? 1 : room / drift.begun;
    const bool isAdmitted = stage == RequestStage::Begun || std::bernoulli_distribution(admittedPart)(random);
    if (candidates.empty() || !isAdmitted) {
        return {nullptr, leastLoad >= 0, std::max(0.0, leastLoad), room, drift.begun};
    }
    const auto chosen = drift.begun > 1 ? pickByLevel(std::move(candidates), drift.begun, random) : pickLowest(candidates);
    return {chosen.target, false, chosen.load, room, drift.begun};
}

}
