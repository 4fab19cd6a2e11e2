#include "idempotency/claim_fakes.h"

#include <gtest/gtest.h>

namespace carawaypoint
{

namespace
{

constexpr int DaemonCount = 3;
constexpr int CallCount = 12'000;
constexpr int MaxSendsPerCall = 12; // times that a caller sends one call

class Simulation;

/// An entry daemon that can pause and restart; each restart has the next incarnation.
struct Daemon : PeerClaims {
    Daemon(Simulation &world, int number);
    void restart();
    void relinquish(const ClaimReference &claim, Handler handler) override;
    /// Runs @p action in this process after the end of a pause, or never if the process ended.
    void run(const std::function<void()> &action);

    Simulation &simulation;
    MemberId member;
    std::uint64_t process = 0;
    TimePoint pausedUntil{};
    std::unique_ptr<FakeStore> objects;
    std::unique_ptr<ClaimStore> claims;
};

struct Call {
    std::string key;
    int executions = 0;
    int sends = 0;
    bool isCompleted = false; // the caller received Completed
    ResultCode lastCode = ResultCode::Internal;
    RunState lastState = RunState::Unknown;
};

class Simulation
{
public:
    explicit Simulation(std::uint64_t seed)
        : random(seed)
        , objects(time, seed + 1)
    {
        objects.lossShare = 0.15;
        for (int i = 0; i < DaemonCount; ++i) {
            daemons.push_back(std::make_unique<Daemon>(*this, i));
        }
    }

    bool chance(int percent)
    {
        return static_cast<int>(random() % 100) < percent;
    }

    void start(int calls)
    {
        for (int i = 0; i < calls; ++i) {
            time.after(milliseconds(i * 5), [this, i] {
                allCalls.push_back({makeKey(time.wallTime(), static_cast<std::uint64_t>(i))});
                send(allCalls.back());
                injectRandomFault();
            });
        }
        time.after(milliseconds(50), [this] { tick(); });
    }

    void tick()
    {
        for (auto &daemon : daemons) {
            daemon->run([daemon = daemon.get()] { daemon->claims->tick(); });
        }
        // Ticks continue for a while after the last send, so that delayed writes take effect.
        ticksAfterLastSend = openSends == 0 ? ticksAfterLastSend + 1 : 0;
        if (ticksAfterLastSend < 600) {
            time.after(milliseconds(50), [this] { tick(); });
        }
    }

    void injectRandomFault()
    {
        auto &daemon = *daemons[random() % DaemonCount];
        if (chance(2)) {
            daemon.pausedUntil = time.clock.now() + milliseconds(random() % 400);
        } else if (chance(1)) {
            daemon.restart();
        }
        if (chance(1)) {
            objects.isDown = !objects.isDown;
        }
    }

    void send(Call &call)
    {
        ++call.sends;
        ++openSends;
        const auto answered = std::make_shared<bool>(false);
        auto &daemon = *daemons[random() % DaemonCount];
        const auto answer = [this, &call, answered](ResultCode code, RunState state) {
            time.after(milliseconds(1), [this, &call, answered, code, state] { receive(call, answered, code, state); });
        };
        time.after(milliseconds(1), [this, &daemon, &call, answer] { daemon.run([this, &daemon, &call, answer] { serve(daemon, call, answer); }); });
        // The caller's timeout, after which it knows nothing about the call; the daemon may have ended.
        time.after(milliseconds(100 + random() % 400), [this, &call, answered] { receive(call, answered, ResultCode::CallerClosed, RunState::Unknown); });
        // Some callers send a key again while the first send is in progress.
        if (chance(10) && call.sends < MaxSendsPerCall) {
            time.after(milliseconds(random() % 5), [this, &call] { send(call); });
        }
    }

    using Answer = std::function<void(ResultCode, RunState)>;

    void serve(Daemon &daemon, Call &call, const Answer &answer)
    {
        daemon.claims->acquire({ServiceId("rota"), call.key, "f", RequestId("1")}, [this, &daemon, &call, answer](const ClaimAcquisition &begin) {
            if (begin.code != ResultCode::Ok) {
                answer(begin.code, begin.state);
                return;
            }
            // The traffic thread may be delayed here, and a peer may request the claim meanwhile.
            time.after(microseconds(random() % 20'000), [this, &daemon, &call, answer, begin, process = daemon.process] {
                daemon.run([this, &daemon, &call, answer, begin, process] {
                    if (daemon.process == process) {
                        dispatch(daemon, call, begin.token, answer);
                    }
                });
            });
        });
    }

    void dispatch(Daemon &daemon, Call &call, const std::string &token, const Answer &answer)
    {
        if (chance(5) || !daemon.claims->dispatch(token)) {
            daemon.claims->close(token, [answer](bool isNotRun) {
                answer(isNotRun ? ResultCode::NoServerAvailable : ResultCode::ClaimUnavailable, isNotRun ? RunState::NotRun : RunState::Unknown);
            });
            return;
        }
        const auto serverFate = random() % 100;
        const auto process = daemon.process;
        const auto runAtDaemonLater = [this, &daemon, process](const std::function<void()> &action) {
            time.after(microseconds(random() % 20'000), [&daemon, process, action] {
                daemon.run([&daemon, process, action] {
                    if (daemon.process == process) {
                        action();
                    }
                });
            });
        };
        if (serverFate < 5) {
            runAtDaemonLater([this, &daemon, &call, token, answer] {
                daemon.claims->recordRefusal(token);
                dispatch(daemon, call, token, answer);
            });
            return;
        }
        // The call may reach the service after its daemon has ended.
        time.after(microseconds(random() % 30'000), [&call] { ++call.executions; });
        if (serverFate < 15) {
            runAtDaemonLater([&daemon, token, answer] {
                daemon.claims->recordLostAnswer(token);
                answer(ResultCode::OutcomeUnknown, RunState::Unknown);
            });
            return;
        }
        time.after(milliseconds(30), [runAtDaemonLater, &daemon, token, answer] {
            runAtDaemonLater([&daemon, token, answer] {
                daemon.claims->recordAnswer(token, {201, "application/json", "{}", false});
                answer(ResultCode::Ok, RunState::Completed);
            });
        });
    }

    void receive(Call &call, const std::shared_ptr<bool> &answered, ResultCode code, RunState state)
    {
        if (std::exchange(*answered, true)) {
            return;
        }
        --openSends;
        call.lastCode = code;
        call.lastState = state;
        call.isCompleted = call.isCompleted || state == RunState::Completed;
        if (state == RunState::Completed) {
            EXPECT_EQ(call.executions, 1) << call.key << " was reported as completed";
            return;
        }
        if (state == RunState::NotRun) {
            EXPECT_EQ(call.executions, 0) << call.key << " was reported as not run after it had run";
        }
        if (code != ResultCode::OutcomeUnknown && call.sends < MaxSendsPerCall && !call.isCompleted) {
            time.after(milliseconds(20 + random() % 200), [this, &call] { send(call); });
        }
    }

    VirtualTime time;
    RandomGenerator random;
    FakeObjects objects;
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::deque<Call> allCalls;
    int openSends = 0;
    int ticksAfterLastSend = 0;
};

Daemon::Daemon(Simulation &world, int number)
    : simulation(world)
    , member("d" + std::to_string(number))
{
    restart();
}

void Daemon::restart()
{
    ++process;
    pausedUntil = {};
    claims.reset();
    objects = std::make_unique<FakeStore>(simulation.objects, [this, number = process](const std::function<void()> &action) {
        run([this, number, action] {
            if (number == process) {
                action();
            }
        });
    });
    ClaimStore::Dependencies dependencies{objects.get(),     this,   &simulation.time.clock, [this] { return simulation.time.wallTime(); },
                                          {member, process}, nullptr};
    claims = std::make_unique<ClaimStore>(dependencies, ClaimStoreSettings(), process * 1000 + simulation.random());
}

void Daemon::run(const std::function<void()> &action)
{
    const auto now = simulation.time.clock.now();
    if (pausedUntil <= now) {
        action();
        return;
    }
    simulation.time.after(pausedUntil - now, [this, action, number = process] {
        if (number == process) {
            run(action);
        }
    });
}

void Daemon::relinquish(const ClaimReference &claim, Handler handler)
{
    auto &owner = *simulation.daemons[static_cast<std::size_t>(claim.owner.member.str().back() - '0')];
    const auto answer = [this, handler, number = process](RelinquishResult result) {
        simulation.time.after(milliseconds(1), [this, handler, number, result] {
            run([this, handler, number, result] {
                if (number == process) {
                    handler(result);
                }
            });
        });
    };
    simulation.time.after(milliseconds(1), [this, &owner, claim, answer] {
        const bool isCut = owner.pausedUntil > simulation.time.clock.now() || simulation.chance(5);
        answer(isCut ? RelinquishResult::Unreachable : owner.claims->relinquish(claim));
    });
}

}

// Guards against a call that runs twice, or whose caller is told that it did not run although it ran. Callers re-send to several
// daemons while responses of the platform and the service are lost or delayed and daemons pause or restart at any step.
TEST(ClaimSimulation, runsEveryCallAtMostOnceAndReportsItsRunState)
{
    int completed = 0;
    int unknown = 0;
    int notRun = 0;
    for (const std::uint64_t seed : {1, 2, 3}) {
        Simulation simulation(seed);
        simulation.start(CallCount / 3);
        simulation.time.runAll();
        ASSERT_EQ(simulation.allCalls.size(), CallCount / 3);
        for (const auto &call : simulation.allCalls) {
            ASSERT_LE(call.executions, 1) << "seed " << seed << ", key " << call.key;
            if (call.isCompleted) {
                ASSERT_EQ(call.executions, 1) << "seed " << seed << ", key " << call.key;
            }
            const bool isReportedNotRun = call.lastState == RunState::NotRun && !call.isCompleted;
            // The state applies to the call, which an earlier send with the same key may have run.
            if (call.executions == 1) {
                ASSERT_FALSE(isReportedNotRun) << "seed " << seed << ", key " << call.key;
            }
            ASSERT_NE(call.lastCode, ResultCode::Internal) << "seed " << seed << ", key " << call.key << " got no answer";
            ++(call.isCompleted ? completed : isReportedNotRun ? notRun : unknown);
        }
    }
    std::cout << "calls completed " << completed << ", unknown " << unknown << ", not run " << notRun << "\n";
    // Most calls have to complete, otherwise the run checks too little.
    EXPECT_GT(completed, CallCount * 6 / 10);
}

}
