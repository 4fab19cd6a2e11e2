// Part of ControlPlane that exchanges data with other daemons.

#include "daemon/control_plane.h"
#include "daemon/observation_exchange.h"
#include "idempotency/claim_store.h"
#include "membership/rendezvous.h"
#include "observe/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace carawaypoint
{

namespace
{

constexpr Duration UnseenTimeout = milliseconds(2500); // two probes without an answer
constexpr Duration LeavingRetention = minutes(1); // the platform's VM list shows a leaving VM by then
constexpr Duration ClaimSweepInterval = hours(1);
constexpr std::size_t MaxSignalsPerCall = 64; // limit of the peer protocol

}

void ControlPlane::fetchAssignmentFromPeer()
{
    std::vector<MemberId> peers = membership_.table().members().liveMembers(settings_.zone);
    std::erase(peers, settings_.id);
    if (peers.empty()) {
        return;
    }
    std::vector<RecordStamp> known;
    for (const auto &record : controller_->records()) {
        known.push_back({record.key.objectName(), record.epoch, record.sequence});
    }
    const PeerTarget peer = membership_.target(peers[nextPeerIndex_++ % peers.size()]);
    peers_.fetchAssignment(peer, std::move(known), [this, peer](const PeerReply &reply, SharedAssignment assignment) {
        if (reply.error) {
            return;
        }
        for (const auto &text : assignment.records) {
            if (const auto record = decodeDomainRecord(text)) {
                // The object version on the platform is unknown: a write based on this record fails and is followed by a read.
                controller_->applyRecord(record->key, text, 0);
            } else {
                logLine(LogLevel::Warning, "peer sent a domain record that cannot be read", {{"peer", peer.id.str()}});
            }
        }
        // An empty list means that the peer has not reached the platform either.
        if (!isPlatformReachable_ && !assignment.vms.empty()) {
            applyInventory(std::move(assignment.vms));
        }
    });
}

SharedAssignment ControlPlane::assignmentNewerThan(const std::vector<RecordStamp> &known) const
{
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> stamps;
    for (const auto &stamp : known) {
        stamps[stamp.name] = {stamp.epoch, stamp.sequence};
    }
    SharedAssignment assignment;
    for (const auto &record : controller_->records()) {
        const auto found = stamps.find(record.key.objectName());
        if (found == stamps.end() || found->second < std::pair(record.epoch, record.sequence)) {
            assignment.records.push_back(encodeDomainRecord(record));
        }
    }
    assignment.vms = vms_;
    return assignment;
}

void ControlPlane::publishDemand()
{
    const auto toCounts = [](const auto &values) {
        std::vector<KeyCount> counts;
        counts.reserve(values.size());
        for (const auto &[id, count] : values) {
            counts.push_back({keyHash(id.str()), static_cast<std::uint16_t>(std::min<double>(static_cast<double>(count), 65'535))});
        }
        return counts;
    };
    const Dispatcher::Demand demand = dispatcher_.demand();
    membership_.table().setDemand(toCounts(demand.customers), toCounts(demand.inFlight));
}

void ControlPlane::publishCrashSuspects()
{
    std::vector<PeerSignal> signals;
    for (const std::uint64_t fingerprint : dispatcher_.takeCrashSuspects()) {
        constexpr std::uint64_t FullWeight = 1000; // thousandths
        // Each crash gets its own subject, so that peers count two crashes within seconds as two signals.
        const std::string subject = std::to_string(fingerprint) + "#" + settings_.id.str() + "#" + std::to_string(++crashSuspectCount_);
        membership_.reportCrashSuspect(subject, FullWeight);
        signals.push_back({PeerSignal::Kind::CrashSuspect, subject, FullWeight});
    }
    if (signals.empty()) {
        return;
    }
    // Membership informs the daemons of the own zone at once but other zones only with its periodic exchanges, which is too late for
    // a caller that retries the request through a daemon of another zone. Crashes are rare, so one call to each daemon is cheap.
    signals.resize(std::min<std::size_t>(signals.size(), MaxSignalsPerCall));
    for (const auto &member : members()) {
        if (member.zone != settings_.zone && isLiveStatus(member.status)) {
            peers_.reportSignals({member.id, member.process, member.address}, signals, [](const PeerReply &) {});
        }
    }
}

void ControlPlane::updateClaimStore()
{
    const std::uint64_t revision = membership_.table().highestPlatformRevision();
    hooks_.postToClaimStore([revision](ClaimStore &claims) { claims.observeRevision(revision); });
    // Only a sweep finds the claims of daemons that have ended. A sweep lists all claims, so only one daemon of a zone runs it.
    const TimePoint now = clock_.now();
    if (now - lastClaimSweep_ >= ClaimSweepInterval && membership_.table().isOldestInZone(now)) {
        lastClaimSweep_ = now;
        hooks_.postToClaimStore([](ClaimStore &claims) { claims.queueExpiredClaims(); });
    }
}

void ControlPlane::handlePeerSignal(const PeerSignal &signal)
{
    if (signal.kind == PeerSignal::Kind::Leaving) {
        recordLeaving(VmId(signal.subject));
        return;
    }
    dispatcher_.addPeerCrashSuspect(std::strtoull(signal.subject.c_str(), nullptr, 10));
}

void ControlPlane::handleServerSignal(const ServerSignal &signal)
{
    boost::asio::post(control_, [this, signal] {
        // Published without waiting for the control tick, since the caller may already retry the request through another daemon.
        publishCrashSuspects();
        const VmRecord *vm = findVmByAddress(signal.server);
        if (vm == nullptr) {
            return;
        }
        if (signal.kind == ServerSignal::Kind::Draining || signal.kind == ServerSignal::Kind::Leaving) {
            announceLeaving(vm->id);
        } else if (!vm->domain.isEmpty()) {
            prober_->requestProbe(vm->id);
        }
    });
}

void ControlPlane::recordLeaving(const VmId &vm)
{
    leavingUntil_[vm] = clock_.now() + LeavingRetention;
    const auto found = std::find_if(vms_.begin(), vms_.end(), [&vm](const VmRecord &record) { return record.id == vm; });
    if (found != vms_.end() && found->zone == settings_.zone && !found->domain.isEmpty()) {
        // Every daemon of the zone passes this to its controller, so that the holder of the domain's lease acts on it.
        controller_->drainVm(vm);
    }
    publishSnapshot(clock_.now());
}

void ControlPlane::announceLeaving(const VmId &vm)
{
    if (!leavingUntil_.contains(vm)) {
        membership_.reportLeaving(vm);
        recordLeaving(vm);
    }
}

bool ControlPlane::drainVm(const VmId &vm)
{
    const bool isListed = std::any_of(vms_.begin(), vms_.end(), [&vm](const VmRecord &record) { return record.id == vm; });
    if (isListed) {
        announceLeaving(vm);
    }
    return isListed;
}

void ControlPlane::applyPeerObservations(TimePoint now)
{
    for (const auto &observed : membership_.table().observations(now)) {
        const DomainRecord *record = findDomainRecord(observed.vm);
        const auto own = probedEngines_.find(observed.vm);
        const bool isOwnNewer = own != probedEngines_.end() && own->second.seenAt >= observed.lastSeen;
        if (record != nullptr && observed.lastSeen != TimePoint{} && !isOwnNewer) {
            controller_->observe(observed.vm, toVmObservation(observed.vm, observed.state, observed.lastSeen, *record));
        }
    }
}

void ControlPlane::publishOwnObservations(TimePoint now)
{
    TimePoint oldestSeen = now;
    for (const auto &[vm, engine] : probedEngines_) {
        if (now - engine.seenAt > UnseenTimeout) {
            membership_.setObservation(vm, toServerState(engine.state, false));
        } else {
            oldestSeen = std::min(oldestSeen, engine.seenAt);
        }
    }
    membership_.table().recordProbeRound(oldestSeen);
}

}
