#include "assignment/engine_prober.h"

#include "observe/log.h"

#include <map>

namespace carawaypoint
{
namespace
{

constexpr Duration FailedProbeRetryDelay = milliseconds(500);

}

struct EngineProber::State {
    State(const Builder &builder)
        : settings(builder)
        , schedule(builder.period_, FailedProbeRetryDelay, builder.seed_)
    {
    }

    void handleAnswer(const VmId &vm, TimePoint sentAt, std::error_code error, EngineState state)
    {
        schedule.recordProbeResult(vm, !error, settings.clock_->now());
        if (isClosed || error || !addresses.contains(vm)) {
            return;
        }
        if (state.vm != vm) {
            // Another VM answers at this address; its state must not be attributed to the listed VM.
            logLine(LogLevel::Warning, "an engine answered with the ID of another VM", {{"vm", vm.str()}, {"answered", state.vm.str()}});
            return;
        }
        EngineReport report{vm, {sentAt, std::move(state)}, false, PlacementCheck::Matches, {}};
        checkAgainstRecord(report);
        auto &last = lastReports[vm];
        report.isChanged = !last || isStateChanged(*last, report);
        if (report.check != PlacementCheck::Matches && report.isChanged) {
            logLine(LogLevel::Warning, "an engine differs from its domain's record",
                    {{"vm", vm.str()}, {"replica", report.replica.str()}, {"difference", placementCheckName(report.check)}});
        }
        last = report;
        settings.report_(report);
    }

    void checkAgainstRecord(EngineReport &report) const
    {
        const auto *record = settings.recordOf_ ? settings.recordOf_(report.vm) : nullptr;
        const auto *vm = record ? record->vm(report.vm) : nullptr;
        const auto *replica = vm && vm->phase == VmPhase::Bound ? record->replica(vm->replica) : nullptr;
        if (!replica || replica->spare == report.vm) {
            return;
        }
        report.replica = replica->id;
        report.check = checkPlacement(*record, report.vm, report.observation.state);
    }

    static bool isStateChanged(const EngineReport &left, const EngineReport &right)
    {
        const auto &before = left.observation.state;
        const auto &after = right.observation.state;
        return left.check != right.check || before.processIncarnation != after.processIncarnation || before.fence != after.fence
            || before.replica != after.replica || before.role != after.role || before.version != after.version || before.isLoaded != after.isLoaded
            || before.isDraining != after.isDraining;
    }

    Builder settings;
    ProbeSchedule schedule;
    std::map<VmId, Endpoint> addresses;
    std::map<VmId, std::optional<EngineReport>> lastReports;
    bool isClosed = false;
};

std::unique_ptr<EngineProber> EngineProber::Builder::build() const
{
    return std::unique_ptr<EngineProber>(new EngineProber(*this));
}

EngineProber::EngineProber(const Builder &settings)
    : state_(std::make_shared<State>(settings))
{
}

EngineProber::~EngineProber()
{
    state_->isClosed = true;
}

void EngineProber::setEngines(const std::vector<VmRecord> &engines)
{
    std::vector<VmId> ids;
    state_->addresses.clear();
    for (const auto &engine : engines) {
        ids.push_back(engine.id);
        state_->addresses[engine.id] = engine.address;
    }
    std::erase_if(state_->lastReports, [this](const auto &entry) { return !state_->addresses.contains(entry.first); });
    state_->schedule.setEngines(ids, state_->settings.clock_->now());
}

void EngineProber::tick()
{
    const auto now = state_->settings.clock_->now();
    for (const auto &vm : state_->schedule.dueEngines(now)) {
        state_->settings.client_->fetchState(state_->addresses.at(vm), [state = state_, vm, now](std::error_code error, EngineState answer) {
            state->handleAnswer(vm, now, error, std::move(answer));
        });
    }
}

void EngineProber::requestProbe(const VmId &vm)
{
    state_->schedule.requestProbe(vm, state_->settings.clock_->now());
}

}
