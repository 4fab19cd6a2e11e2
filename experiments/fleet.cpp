#include "experiments/fleet.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace carawaypoint::experiments
{

namespace
{

constexpr Duration TickInterval = milliseconds(10);
constexpr Duration NetworkDelay = milliseconds(1);
constexpr Duration CacheEventInterval = milliseconds(500);
constexpr unsigned MaxAttempts = 3;
const ModelId Model("m");

std::size_t replicaIndex(const ReplicaId &id)
{
    return static_cast<std::size_t>(std::stoul(id.str().substr(1)));
}

double imbalanceOf(const std::vector<EngineLoad> &loads)
{
    double sum = 0;
    double squares = 0;
    for (const EngineLoad &load : loads) {
        const double requests = load.running + load.queued;
        sum += requests;
        squares += requests * requests;
    }
    const double mean = sum / static_cast<double>(loads.size());
    return mean > 0 ? std::sqrt(std::max(0.0, squares / static_cast<double>(loads.size()) - mean * mean)) / mean : 0;
}

}

Fleet::Fleet(const FleetSettings &settings, std::uint64_t seed)
    : settings_(settings)
    , random_(seed)
{
    for (std::size_t i = 0; i < settings_.replicas; ++i) {
        engines_.push_back(std::make_unique<FakeEngine>(loop_, settings_.engine));
    }
    for (std::size_t i = 0; i < settings_.daemons; ++i) {
        daemons_.push_back(makeDispatcher(loop_.clock(), seed * 1000 + i));
        daemons_.back()->setSnapshot(std::make_shared<RoutingSnapshot>(baseSnapshot()));
    }
}

std::vector<Outcome> Fleet::run(const Workload &workload, TimePoint end)
{
    end_ = end;
    std::vector<Outcome> outcomes(workload.size());
    for (std::size_t i = 0; i < workload.size(); ++i) {
        outcomes[i].arrival = &workload[i];
        loop_.scheduleAt(workload[i].at, [this, &outcome = outcomes[i]] { submit(outcome); });
    }
    loop_.scheduleAfter(TickInterval, [this] { tick(); });
    sample();
    for (std::size_t replica = 0; replica < engines_.size(); ++replica) {
        sendCacheEvents(replica);
    }
    loop_.runUntil(end);
    return outcomes;
}

void Fleet::submit(Outcome &outcome)
{
    const Arrival &arrival = *outcome.arrival;
    const std::size_t daemon = arrival.daemon % daemons_.size();
    ModelRequest request;
    request.customer = CustomerId(arrival.customer);
    request.model = Model;
    request.adapter = arrival.adapter;
    request.promptTokens = arrival.promptTokens;
    request.maxTokens = arrival.maxTokens;
    request.deadline = loop_.now() + arrival.firstTokenLimit;
    request.prefixHashes = arrival.prefixes;
    // A grant can come inside submit(), before its ticket is known, so it is handled in a separate event.
    auto ticket = std::make_shared<Dispatcher::Ticket>();
    *ticket = daemons_[daemon]->submit(request, [this, &outcome, daemon, ticket](const DispatchDecision &decision) {
        loop_.scheduleAfter({}, [this, &outcome, daemon, ticket, decision] { decide(outcome, daemon, *ticket, decision); });
    });
}

void Fleet::decide(Outcome &outcome, std::size_t daemon, Dispatcher::Ticket ticket, const DispatchDecision &decision)
{
    outcome.code = decision.code;
    outcome.decidedAt = loop_.now();
    if (decision.code != ResultCode::Ok) {
        return;
    }
    ++outcome.attempts;
    outcome.replica = replicaIndex(decision.replica);
    loop_.scheduleAfter(NetworkDelay, [this, &outcome, daemon, ticket, decision] { send(outcome, daemon, ticket, decision); });
}

void Fleet::send(Outcome &outcome, std::size_t daemon, Dispatcher::Ticket ticket, const DispatchDecision &decision)
{
    const Arrival &arrival = *outcome.arrival;
    EngineRequest request;
    request.promptTokens = arrival.promptTokens;
    request.outputTokens = arrival.outputTokens;
    request.priority = decision.priority;
    request.isLong = decision.isLongWork;
    request.prefixes = arrival.prefixes;
    request.prefixTokens = arrival.prefixTokens;
    request.onToken = [this, &outcome, daemon, ticket](std::uint32_t tokens) {
        if (tokens == 1) {
            outcome.firstTokenAt = loop_.now() + NetworkDelay;
        }
        outcome.tokens = tokens;
        daemons_[daemon]->reportProgress(ticket, tokens);
    };
    request.onDone = [this, &outcome, daemon, ticket] {
        outcome.doneAt = loop_.now() + NetworkDelay;
        daemons_[daemon]->finish(ticket, AttemptOutcome::Completed, outcome.tokens);
    };
    if (!engines_[outcome.replica]->submit(std::move(request))) {
        daemons_[daemon]->finish(ticket, AttemptOutcome::Refused, 0);
        retry(outcome, daemon, ticket, decision.replica);
    }
}

void Fleet::retry(Outcome &outcome, std::size_t daemon, Dispatcher::Ticket ticket, const ReplicaId &refused)
{
    if (outcome.attempts >= MaxAttempts) {
        outcome.code = ResultCode::BackendRefused;
        return;
    }
    auto next = std::make_shared<Dispatcher::Ticket>();
    const std::vector<ReplicaId> excluded{refused};
    *next = daemons_[daemon]->resubmit(ticket, excluded, [this, &outcome, daemon, next](const DispatchDecision &decision) {
        loop_.scheduleAfter({}, [this, &outcome, daemon, next, decision] { decide(outcome, daemon, *next, decision); });
    });
}

void Fleet::tick()
{
    for (const auto &daemon : daemons_) {
        daemon->tick();
    }
    if (loop_.now() < end_) {
        loop_.scheduleAfter(TickInterval, [this] { tick(); });
    }
}

void Fleet::sample()
{
    auto sample = std::make_shared<Sample>();
    sample->at = loop_.now();
    for (const auto &engine : engines_) {
        sample->loads.push_back(engine->load());
    }
    for (const auto &daemon : daemons_) {
        sample->demands.push_back(daemon->demand());
    }
    imbalance_.push_back(imbalanceOf(sample->loads));
    loop_.scheduleAfter(settings_.reportLag, [this, sample] { publish(*sample); });
    if (loop_.now() < end_) {
        loop_.scheduleAfter(settings_.reportInterval, [this] { this->sample(); });
    }
}

void Fleet::publish(const Sample &sample)
{
    std::unordered_map<CustomerId, double> globalDemand;
    std::vector<std::uint32_t> inFlight(engines_.size(), 0);
    std::vector<std::vector<std::uint32_t>> ownInFlight(daemons_.size(), inFlight);
    for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
        for (const auto &[customer, slots] : sample.demands[daemon].customers) {
            globalDemand[customer] += slots;
        }
        for (const auto &[replica, count] : sample.demands[daemon].inFlight) {
            inFlight[replicaIndex(replica)] += count;
            ownInFlight[daemon][replicaIndex(replica)] = count;
        }
    }
    for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
        RoutingSnapshot snapshot = baseSnapshot();
        snapshot.isPeerExchangeFresh = true;
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            snapshot.replicas[i].load = sample.loads[i];
            snapshot.replicas[i].peerInFlight = inFlight[i] - ownInFlight[daemon][i];
        }
        for (CustomerView &customer : snapshot.customers) {
            customer.globalDemand = globalDemand[customer.id];
        }
        daemons_[daemon]->setSnapshot(std::make_shared<RoutingSnapshot>(std::move(snapshot)));
    }
}

RoutingSnapshot Fleet::baseSnapshot() const
{
    RoutingSnapshot snapshot;
    snapshot.generation = 1;
    snapshot.builtAt = loop_.now();
    snapshot.zone = ZoneId("z1");
    snapshot.daemonsInZone = static_cast<std::uint32_t>(settings_.daemons);
    snapshot.policy = settings_.policy;
    for (std::size_t i = 0; i < settings_.replicas; ++i) {
        ReplicaView &view = snapshot.replicas.emplace_back();
        view.id = ReplicaId("r" + std::to_string(i));
        view.incarnation = 1;
        view.model = Model;
        view.zone = snapshot.zone;
        view.leader = {"127.0.0.1", 9000};
        view.expectedMembers = 1;
        view.slots = settings_.engine.slots;
        ReplicaMemberView &member = view.members.emplace_back();
        member.vm = VmId("vm" + std::to_string(i));
        member.isLoaded = true;
        member.lastSeen = loop_.now();
    }
    for (std::size_t i = 0; i < settings_.customers; ++i) {
        snapshot.customers.emplace_back().id = CustomerId("customer-" + std::to_string(i));
    }
    return snapshot;
}

void Fleet::sendCacheEvents(std::size_t replica)
{
    CacheUpdate update;
    update.changes = engines_[replica]->takeCacheEvents();
    update.lastSequence = engines_[replica]->lastCacheSequence();
    std::bernoulli_distribution isLost(settings_.cacheEventLoss);
    std::erase_if(update.changes, [&](const CacheUpdate::Change &) { return isLost(random_); });
    loop_.scheduleAfter(settings_.cacheEventLag, [this, replica, update] { deliverCacheUpdate(replica, update); });
    if (loop_.now() < end_) {
        loop_.scheduleAfter(CacheEventInterval, [this, replica] { sendCacheEvents(replica); });
    }
}

void Fleet::deliverCacheUpdate(std::size_t replica, const CacheUpdate &update)
{
    const ReplicaId id("r" + std::to_string(replica));
    for (const auto &daemon : daemons_) {
        if (daemon->applyCacheUpdate(id, 1, update)) {
            continue;
        }
        // The daemon missed events and fetches the list of all cached prefixes, which arrives with the same delay as events.
        CacheUpdate complete{.isComplete = true, .lastSequence = engines_[replica]->lastCacheSequence(), .changes = {}};
        for (const std::uint64_t prefix : engines_[replica]->cachedPrefixes()) {
            complete.changes.push_back({0, prefix, false});
        }
        loop_.scheduleAfter(settings_.cacheEventLag, [dispatcher = daemon.get(), id, complete] { dispatcher->applyCacheUpdate(id, 1, complete); });
    }
}

}
