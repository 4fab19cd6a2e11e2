#pragma once

#include "routing/crash_attribution.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace carawaypoint
{

/// A harmful part of a prompt.
inline constexpr TraitId Harmful = 1000001;

/// The start of a test's clock, and @p time after it.
inline TimePoint at(Duration time)
{
    return TimePoint{} + hours(1) + time;
}

/// A fleet in which a request waits at a server until its answer begins. Gateways exchange their evidence in rounds.
class CrashSimulation
{
public:
    struct Load {
        double soundPerSecond = 100;
        double harmfulPerSecond = 1.5;
        double lossesPerSecond = 0; // of servers, for other reasons
        unsigned lossSize = 1; // servers lost at the same time
        unsigned subjects = 60; // first parts, shared by sound and harmful requests
        Duration repeatInterval{}; // of one request that crashes servers and comes again unchanged; zero: there is none
        unsigned sessions = 0; // the repeated request names the part of these in turn; 0: a part of its own each time
        double sessionPerSecond = 0; // sound requests of each of the sessions
    };
    struct Outcome {
        unsigned crashes = 0; // by harmful requests
        unsigned lateHarmful = 0; // harmful requests that reached servers after the fifth crash and the time to spread
        unsigned lateRepeats = 0; // attempts of the repeated request that reached servers after the third crash and the time to spread
        unsigned sound = 0;
        unsigned refusedSound = 0;
        unsigned quarantines = 0;
    };

    CrashSimulation(unsigned gateways, unsigned servers, Load load, std::uint64_t seed)
        : load_(load)
        , random_(seed)
        , gateways_(gateways)
        , servers_(servers)
    {
    }

    /// @param hops messages that evidence passes between two gateways; @param lossShare of messages.
    Outcome run(Duration length, unsigned hops, double lossShare, Duration contactTime)
    {
        for (const auto end = now_ + length; now_ < end; now_ += Step) {
            const auto time = now_;
            endRequests(time);
            loseServers(time);
            arrive(load_.soundPerSecond, false, time, contactTime);
            arrive(load_.harmfulPerSecond, true, time, contactTime);
            arriveOfSessions(time, contactTime);
            arriveRepeated(time, contactTime);
            if (time.count() % Duration(ReportInterval).count() == 0) {
                exchange(time, hops, lossShare);
            }
        }
        return outcome_;
    }
    /// A gateway that starts knows nothing.
    void restartGateway(std::size_t number)
    {
        gateways_[number] = CrashAttribution();
    }
    bool refuses(std::size_t gateway, Duration time) const
    {
        return gateways_[gateway].quarantineLeft(std::vector<TraitId>{Harmful}, at(time)) > Duration{};
    }

private:
    static constexpr Duration Step{milliseconds(10)};
    static constexpr Duration ReportInterval{milliseconds(150)};
    static constexpr Duration WaitTime{milliseconds(120)}; // until the answer of a request begins
    static constexpr Duration RestartTime{seconds(4)};
    static constexpr TraitId FirstSession = 1100000;
    static constexpr TraitId Repeated = 1200000; // the whole repeated request

    struct Request {
        std::vector<TraitId> traits;
        std::size_t gateway = 0;
        Duration beginsAt{};
        bool isHarmful = false;
        bool isRepeat = false;
    };
    struct Server {
        std::uint64_t incarnation = 1;
        Duration backAt{};
        std::vector<Request> requests;
    };

    bool draw(double probability)
    {
        return std::bernoulli_distribution(std::clamp(probability, 0.0, 1.0))(random_);
    }

    void arrive(double perSecond, bool isHarmful, Duration time, Duration contactTime)
    {
        std::poisson_distribution<unsigned> count(perSecond * std::chrono::duration<double>(Step).count());
        for (auto left = count(random_); left > 0; --left) {
            Request request{{1 + random_() % load_.subjects}, random_() % gateways_.size(), {}, isHarmful, false};
            if (isHarmful) {
                request.traits.push_back(Harmful);
            }
            request.traits.push_back(nextOwnPart_++);
            request.traits.push_back(nextOwnPart_++); // of the whole request
            send(std::move(request), time, contactTime);
        }
    }

    /// The same first part and the part of the session @p number.
    std::vector<TraitId> sessionParts(unsigned number) const
    {
        return {1, FirstSession + number};
    }

    void arriveOfSessions(Duration time, Duration contactTime)
    {
        std::poisson_distribution<unsigned> count(load_.sessionPerSecond * std::chrono::duration<double>(Step).count());
        for (unsigned session = 0; session < load_.sessions; ++session) {
            for (auto left = count(random_); left > 0; --left) {
                Request request{sessionParts(session), random_() % gateways_.size(), {}, false, false};
                request.traits.push_back(nextOwnPart_++);
                send(std::move(request), time, contactTime);
            }
        }
    }

    /// The repeated request comes to the gateways in turn.
    void arriveRepeated(Duration time, Duration contactTime)
    {
        if (load_.repeatInterval == Duration{} || time % load_.repeatInterval != Duration{}) {
            return;
        }
        const auto count = repeats_++;
        Request request{
            load_.sessions > 0 ? sessionParts(count % load_.sessions) : std::vector<TraitId>{1, nextOwnPart_++}, count % gateways_.size(), {}, true, false};
        request.traits.push_back(Repeated);
        const auto mayCome = gateways_[request.gateway].quarantineLeft(request.traits, at(time)) == Duration{};
        outcome_.lateRepeats += mayCome && thirdCrashAt_ && time >= *thirdCrashAt_ + contactTime ? 1 : 0;
        send(std::move(request), time, contactTime);
    }

    void send(Request request, Duration time, Duration contactTime)
    {
        outcome_.sound += request.isHarmful || request.isRepeat ? 0 : 1;
        if (gateways_[request.gateway].quarantineLeft(request.traits, at(time)) > Duration{}) {
            outcome_.refusedSound += request.isHarmful ? 0 : 1;
            return;
        }
        const bool isLate = fifthCrashAt_ && time >= *fifthCrashAt_ + contactTime;
        outcome_.lateHarmful += request.isHarmful && isLate ? 1 : 0;
        auto &server = servers_[random_() % servers_.size()];
        if (server.backAt <= time) {
            request.beginsAt = time + WaitTime;
            server.requests.push_back(std::move(request));
        }
    }

    void endRequests(Duration time)
    {
        for (std::size_t number = 0; number < servers_.size(); ++number) {
            auto &server = servers_[number];
            while (!server.requests.empty() && server.requests.front().beginsAt <= time) {
                if (server.requests.front().isHarmful) {
                    ++outcome_.crashes;
                    if (outcome_.crashes == 3) {
                        thirdCrashAt_ = time;
                    }
                    if (outcome_.crashes == 5) {
                        fifthCrashAt_ = time;
                    }
                    crash(number, time);
                    break;
                }
                gateways_[server.requests.front().gateway].recordAnswer(server.requests.front().traits, at(time));
                server.requests.erase(server.requests.begin());
            }
        }
    }

    void loseServers(Duration time)
    {
        if (!draw(load_.lossesPerSecond * std::chrono::duration<double>(Step).count())) {
            return;
        }
        for (unsigned count = 0; count < load_.lossSize; ++count) {
            crash(random_() % servers_.size(), time);
        }
    }

    void crash(std::size_t number, Duration time)
    {
        auto &server = servers_[number];
        if (server.backAt > time) {
            return;
        }
        const auto id = makeCrashId(std::to_string(number), server.incarnation++);
        server.backAt = time + RestartTime;
        const auto requests = std::exchange(server.requests, {});
        for (auto request : requests) {
            auto &gateway = gateways_[request.gateway];
            gateway.recordCrash(id, request.traits, at(time));
            if (!request.isRepeat && !gateway.isSuspect(request.traits, id)) {
                request.isRepeat = true;
                send(request, time, seconds(3));
            }
        }
    }

    void exchange(Duration time, unsigned hops, double lossShare)
    {
        const bool all = ++rounds_ % 14 == 0;
        std::vector<std::vector<TraitEvidence>> messages;
        for (auto &gateway : gateways_) {
            gateway.expire(at(time));
            for (const auto &change : gateway.takeChanges()) {
                outcome_.quarantines += change.isQuarantined ? 1 : 0;
            }
            messages.push_back(gateway.evidence(all, at(time)));
        }
        delayed_.push_back(std::move(messages));
        if (delayed_.size() < hops) {
            return;
        }
        for (std::size_t from = 0; from < gateways_.size(); ++from) {
            for (std::size_t to = 0; to < gateways_.size() && !delayed_.front()[from].empty(); ++to) {
                if (from != to && !draw(lossShare)) {
                    gateways_[to].merge(delayed_.front()[from], at(time));
                }
            }
        }
        delayed_.pop_front();
    }

    Load load_;
    std::mt19937_64 random_;
    Duration now_{};
    std::vector<CrashAttribution> gateways_;
    std::vector<Server> servers_;
    std::deque<std::vector<std::vector<TraitEvidence>>> delayed_;
    std::optional<Duration> thirdCrashAt_;
    std::optional<Duration> fifthCrashAt_;
    std::size_t repeats_ = 0;
    TraitId nextOwnPart_ = 2000000;
    unsigned rounds_ = 0;
    Outcome outcome_;
};

}
