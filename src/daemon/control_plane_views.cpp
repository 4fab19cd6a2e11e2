// Part of ControlPlane that provides data for operators, alarms and metrics.

#include "daemon/admin_bodies.h"
#include "daemon/control_plane.h"
#include "daemon/fact_collector.h"
#include "membership/roles.h"
#include "observe/log.h"
#include "observe/metrics.h"

#include <algorithm>

namespace carawaypoint
{

std::vector<MemberRecord> ControlPlane::members()
{
    return membership_.table().members().allRecords();
}

std::optional<MemberRecord> ControlPlane::findMember(const MemberId &id)
{
    return membership_.table().members().find(id);
}

DaemonStatus ControlPlane::status()
{
    DaemonStatus status;
    status.daemon = settings_.id;
    status.zone = settings_.zone;
    status.isReady = isReady_;
    status.isPlatformReachable = isPlatformReachable_;
    status.generation = config_.generation();
    status.members = members();
    status.assignment = controller_->status();
    status.replicas = controller_->replicaViews();
    status.vms = vms_;
    status.now = clock_.now();
    status.observationBound = config_.config() == nullptr ? RoutingPolicy().observationBound : config_.config()->routing.observationBound;
    return status;
}

std::string ControlPlane::findZoneWithoutSite(const LoadedConfig &loaded)
{
    for (const auto &member : members()) {
        const bool hasSite =
            std::any_of(loaded.sites.begin(), loaded.sites.end(), [&member](const auto &site) { return site.second.siteSettings.zone == member.zone; });
        if (isLiveStatus(member.status) && !hasSite) {
            return member.zone.str();
        }
    }
    return {};
}

std::vector<MemberGeneration> ControlPlane::memberGenerations()
{
    const ClockPair clocks{clock_.now(), std::chrono::system_clock::now()};
    std::map<MemberId, TimePoint> since;
    for (const auto &known : configuration_.tracker().memberStatus()) {
        since[known.member] = known.since;
    }
    std::vector<MemberGeneration> generations;
    for (auto &member : members()) {
        const auto found = since.find(member.id);
        generations.push_back({std::move(member), found == since.end() ? std::string() : clocks.format(found->second)});
    }
    return generations;
}

void ControlPlane::updateAlarms(TimePoint now)
{
    const AssignmentStatus assignment = controller_->status();
    const std::vector<ReplicaView> replicas = controller_->replicaViews();
    const std::vector<MemberRecord> all = members();
    FactInputs inputs;
    inputs.config = config_.config();
    inputs.zone = settings_.zone;
    inputs.vms = vms_;
    inputs.replicas = replicas;
    inputs.assignment = &assignment;
    inputs.members = all;
    inputs.newestGeneration = configuration_.tracker().generation();
    inputs.isViewFresh = isReady_;
    inputs.isPlatformReachable = isPlatformReachable_;
    inputs.observationBound = inputs.config == nullptr ? RoutingPolicy().observationBound : inputs.config->routing.observationBound;
    const AlarmTracker::Changes changes = alarms_.update(collectFacts(inputs, now));
    for (const auto &alarm : changes.raised) {
        if (isReporter(alarm, now)) {
            logDecision("alarm", alarm.condition.subject, "raised " + alarm.condition.cause(), alarm.condition.detail);
        }
    }
    for (const auto &alarm : changes.cleared) {
        if (isReporter(alarm, now)) {
            logDecision("alarm", alarm.condition.subject, "cleared " + alarm.condition.cause(), "the condition no longer holds");
        }
    }
}

bool ControlPlane::isReporter(const Alarm &alarm, TimePoint now)
{
    if (!alarmKindInfo(alarm.condition.kind).isFleetWide) {
        return membership_.table().isOldestInZone(now);
    }
    std::vector<MemberRecord> live = members();
    std::erase_if(live, [](const MemberRecord &member) { return !isLiveStatus(member.status); });
    return oldestMember(live) == settings_.id;
}

void ControlPlane::updateMetrics()
{
    MetricsRegistry &metrics = metricsRegistry();
    const DaemonStatus current = status();
    std::map<std::string, double> replicas;
    for (const auto &replica : current.assignment.replicas) {
        ++replicas[replica.state];
    }
    for (const char *state : {"whole", "loading", "incomplete", "draining"}) {
        metrics.set(GaugeMetric::Replicas, state, replicas[state]);
    }
    for (const auto &domain : current.assignment.domains) {
        metrics.set(GaugeMetric::StrandedAccelerators, domain.key.objectName(), domain.stranded);
    }
    double live = 0;
    for (const auto &member : current.members) {
        live += isLiveStatus(member.status) ? 1 : 0;
    }
    metrics.set(GaugeMetric::Members, "live", live);
    metrics.set(GaugeMetric::ConfigGeneration, {}, static_cast<double>(current.generation));
    const PeerServiceCounters counters = peers_.counters();
    metrics.count(CounterMetric::PeerBytes, "in", static_cast<double>(counters.bytesReceived - lastPeerCounters_.bytesReceived));
    metrics.count(CounterMetric::PeerBytes, "out", static_cast<double>(counters.bytesSent - lastPeerCounters_.bytesSent));
    lastPeerCounters_ = counters;
    metrics.set(GaugeMetric::ActiveAlarms, {}, static_cast<double>(alarms_.active().size()));
}

}
