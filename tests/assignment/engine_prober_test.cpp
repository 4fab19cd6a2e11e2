#include "assignment/engine_prober.h"
#include "core/result_code.h"

#include <gtest/gtest.h>

#include <map>

namespace carawaypoint
{
namespace
{

struct FakeEngines : public EngineClient {
    void sendOrder(const Endpoint &, const EngineOrder &, OrderHandler) override
    {
    }
    void fetchState(const Endpoint &engine, StateHandler handler) override
    {
        ++probes[engine];
        waiting.emplace_back(engine, std::move(handler));
    }
    void fetchCacheEvents(const Endpoint &, std::uint64_t, CacheHandler) override
    {
    }
    void answerAll()
    {
        for (auto &[engine, handler] : std::exchange(waiting, {})) {
            const auto found = states.find(engine);
            handler(found == states.end() ? std::error_code(ResultCode::BackendTimeout) : std::error_code(),
                    found == states.end() ? EngineState{} : found->second);
        }
    }

    std::map<Endpoint, int> probes;
    std::vector<std::pair<Endpoint, StateHandler>> waiting;
    std::map<Endpoint, EngineState> states;
};

DomainRecord recordWithTwoMembers()
{
    DomainRecord record;
    record.key = {ZoneId("z"), FabricDomainId("a")};
    record.epoch = 2;
    record.lastIncarnation = 5;
    record.vms = {{VmId("v1"), {"10.0.0.1", 1}, "p", VmPhase::Bound, ReplicaId("r"), {}, false},
                  {VmId("v2"), {"10.0.0.1", 2}, "p", VmPhase::Bound, ReplicaId("r"), {}, false}};
    record.replicas = {{ReplicaId("r"), {2, 5}, ModelId("m"), "1", {}, 2, {VmId("v1"), VmId("v2")}, {}, false}};
    return record;
}

EngineState stateAsRecorded(const std::string &vm, EngineRole role)
{
    EngineState state;
    state.vm = VmId(vm);
    state.fence = {2, 5};
    state.replica = ReplicaId("r");
    state.role = role;
    state.model = ModelId("m");
    state.version = "1";
    state.isLoaded = true;
    return state;
}

struct EngineProberTest : testing::Test {
    EngineProberTest()
    {
        prober = EngineProber::Builder(client, clock)
                     .recordOf([this](const VmId &) { return &record; })
                     .onReport([this](const EngineReport &report) { reports.push_back(report); })
                     .build();
        prober->setEngines({{VmId("v1"), {"10.0.0.1", 1}, {}, {}, "p", false}, {VmId("v2"), {"10.0.0.1", 2}, {}, {}, "p", false}});
        client.states[{"10.0.0.1", 1}] = stateAsRecorded("v1", EngineRole::Leader);
        client.states[{"10.0.0.1", 2}] = stateAsRecorded("v2", EngineRole::Worker);
    }

    void run(Duration time)
    {
        for (Duration passed{}; passed < time; passed += milliseconds(100)) {
            clock.advance(milliseconds(100));
            prober->tick();
            client.answerAll();
        }
    }

    DomainRecord record = recordWithTwoMembers();
    ManualClock clock;
    FakeEngines client;
    std::vector<EngineReport> reports;
    std::unique_ptr<EngineProber> prober;
};

// Guards against several probes of an engine in one period, and against another probe while the last one is unanswered.
TEST_F(EngineProberTest, probesOncePerPeriod)
{
    run(seconds(10));
    for (const auto &[engine, count] : client.probes) {
        EXPECT_GE(count, 9);
        EXPECT_LE(count, 11);
    }
    EXPECT_EQ(std::count_if(reports.begin(), reports.end(), [](const auto &report) { return report.isChanged; }), 2);
    const auto before = client.probes;
    for (int index = 0; index < 50; ++index) {
        clock.advance(milliseconds(100));
        prober->tick();
    }
    for (const auto &[engine, count] : client.probes) {
        EXPECT_EQ(count, before.at(engine) + 1);
    }
}

// Guards against an engine that is reported as observed although it does not answer or another VM answers at its address.
TEST_F(EngineProberTest, ignoresMissingAnswersAndAnswersOfOtherVms)
{
    client.states.erase({"10.0.0.1", 1});
    client.states[{"10.0.0.1", 2}].vm = VmId("v9");
    run(seconds(5));
    EXPECT_TRUE(reports.empty());
    EXPECT_GE((client.probes[{"10.0.0.1", 1}]), 8) << "failed probes are repeated sooner";
}

// Guards against a replica that keeps getting work while a member reports another replica, incarnation, epoch, role or
// version than the record: no member may count as loaded then.
TEST_F(EngineProberTest, placementDifferenceMakesReplicaIneligible)
{
    VmObservations observations;
    const auto loadedMembers = [&] {
        reports.clear();
        run(seconds(2));
        for (const auto &report : reports) {
            observations[report.vm] = report.observation;
        }
        const auto view = replicaView(record, record.replicas.front(), observations);
        return std::count_if(view.members.begin(), view.members.end(), [](const auto &member) { return member.isLoaded; });
    };
    EXPECT_EQ(loadedMembers(), 2);
    struct Case {
        void (*change)(EngineState &);
        PlacementCheck check;
    };
    for (const auto &row : {Case{[](EngineState &state) { state.replica = ReplicaId("other"); }, PlacementCheck::OtherReplica},
                            {[](EngineState &state) { state.fence.incarnation = 4; }, PlacementCheck::OtherFence},
                            {[](EngineState &state) { state.fence.epoch = 1; }, PlacementCheck::OtherFence},
                            {[](EngineState &state) { state.role = EngineRole::Leader; }, PlacementCheck::OtherRole},
                            {[](EngineState &state) { state.version = "0"; }, PlacementCheck::OtherVersion}}) {
        const auto check = row.check;
        auto &state = client.states[{"10.0.0.1", 2}];
        const auto right = state;
        row.change(state);
        EXPECT_EQ(loadedMembers(), 0) << placementCheckName(check);
        EXPECT_EQ(std::count_if(reports.begin(), reports.end(), [&](const auto &report) { return report.vm == VmId("v2") && report.check == check; }),
                  std::count_if(reports.begin(), reports.end(), [](const auto &report) { return report.vm == VmId("v2"); }));
        state = right;
        EXPECT_EQ(loadedMembers(), 2);
    }
}

}
}
