// What the control plane exchanges with other daemons.

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

constexpr Duration UnseenAfter = milliseconds(2500); // two probes without an answer
constexpr Duration LeavingMemory = minutes(1); // the platform's list shows a leaving VM by then
constexpr Duration SweepPeriod = hours(1);
constexpr std::size_t MaxSignalsPerCall = 64; // bound of the inner protocol

}

void ControlPlane::fetchAssignmentFromPeer()
{
    std::vector<MemberId> peers = membership_.table().members().live(settings_.zone);
    std::erase(peers, settings_.id);
    if (peers.empty()) {
        return;
    }
    std::vector<RecordStamp> known;
    for (const auto &record : controller_->records()) {
        known.push_back({record.key.objectName(), record.epoch, record.sequence});
    }
    const PeerTarget peer = membership_.target(peers[peerTurn_++ % peers.size()]);
    peers_.fetchAssignment(peer, std::move(known), [this, peer](const PeerReply &reply, SharedAssignment assignment) {
        if (reply.error) {
            return;
        }
        for (const auto &text : assignment.records) {
            if (const auto record = decodeDomainRecord(text)) {
                // The version of the object stays unknown: a write on top of it fails and is followed by a read.
                controller_->applyRecord(record->key, text, 0);
            } else {
                logLine(LogLevel::Warning, "peer sent a domain record that cannot be read", {{"peer", peer.id.str()}});
            }
        }
        // A peer without a list has not seen the platform either.
        if (!isPlatformReachable_ && !assignment.vms.empty()) {
            takeInventory(std::move(assignment.vms));
        }
    });
}

SharedAssignment ControlPlane::assignmentFor(const std::vector<RecordStamp> &known) const
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

void ControlPlane::exchangeDemand()
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
        constexpr std::uint64_t WholeWeight = 1000; // thousandths
        // Each crash has a subject of its own: two crashes within seconds are two signals, and peers have to count both.
        const std::string subject = std::to_string(fingerprint) + "#" + settings_.id.str() + "#" + std::to_string(++crashCount_);
        membership_.reportCrashSuspect(subject, WholeWeight);
        signals.push_back({PeerSignal::Kind::CrashSuspect, subject, WholeWeight});
    }
    if (signals.empty()) {
        return;
    }
    // The membership tells the own zone at once and the others with its exchanges, which is too late for a caller that re-sends
    // the request through an entry of another zone. Crashes are rare, so that one call to each daemon is cheap.
    signals.resize(std::min<std::size_t>(signals.size(), MaxSignalsPerCall));
    for (const auto &member : members()) {
        if (member.zone != settings_.zone && isLiveStatus(member.status)) {
            peers_.reportSignals({member.id, member.process, member.address}, signals, [](const PeerReply &) {});
        }
    }
}

void ControlPlane::exchangeClaimState()
{
    const std::uint64_t revision = membership_.table().highestPlatformRevision();
    hooks_.withClaims([revision](ClaimStore &claims) { claims.observeRevision(revision); });
    // Only a sweep finds the claims of daemons that have ended. It lists all claims, so that one daemon of a zone does it.
    const TimePoint now = clock_.now();
    if (now - lastSweep_ >= SweepPeriod && membership_.table().isOldestInZone(now)) {
        lastSweep_ = now;
        hooks_.withClaims([](ClaimStore &claims) { claims.sweep(); });
    }
}

void ControlPlane::handlePeerSignal(const PeerSignal &signal)
{
    if (signal.kind == PeerSignal::Kind::Leaving) {
        noteLeaving(VmId(signal.subject));
        return;
    }
    dispatcher_.addPeerCrashSuspect(std::strtoull(signal.subject.c_str(), nullptr, 10));
}

void ControlPlane::noteServerSignal(const ServerSignal &signal)
{
    boost::asio::post(control_, [this, signal] {
        // At once, since the caller may be re-sending the request through another entry already.
        publishCrashSuspects();
        const VmRecord *vm = vmAt(signal.server);
        if (vm == nullptr) {
            return;
        }
        if (signal.kind == ServerSignal::Kind::Draining || signal.kind == ServerSignal::Kind::Leaving) {
            markLeaving(vm->id);
        } else if (!vm->domain.isEmpty()) {
            prober_->hurry(vm->id);
        }
    });
}

void ControlPlane::noteLeaving(const VmId &vm)
{
    leavingUntil_[vm] = clock_.now() + LeavingMemory;
    const auto found = std::find_if(vms_.begin(), vms_.end(), [&vm](const VmRecord &record) { return record.id == vm; });
    if (found != vms_.end() && found->zone == settings_.zone && !found->domain.isEmpty()) {
        // Every daemon of the zone notes it, so that whoever holds the domain's lease acts on it.
        controller_->drainVm(vm);
    }
    publishSnapshot(clock_.now());
}

void ControlPlane::markLeaving(const VmId &vm)
{
    if (!leavingUntil_.contains(vm)) {
        membership_.reportLeaving(vm);
        noteLeaving(vm);
    }
}

bool ControlPlane::drainVm(const VmId &vm)
{
    const bool isListed = std::any_of(vms_.begin(), vms_.end(), [&vm](const VmRecord &record) { return record.id == vm; });
    if (isListed) {
        markLeaving(vm);
    }
    return isListed;
}

void ControlPlane::takePeerObservations(TimePoint now)
{
    for (const auto &observed : membership_.table().observations(now)) {
        const DomainRecord *record = recordOf(observed.vm);
        const auto own = probed_.find(observed.vm);
        const bool isOwnNewer = own != probed_.end() && own->second.seenAt >= observed.lastSeen;
        if (record != nullptr && observed.lastSeen != TimePoint{} && !isOwnNewer) {
            controller_->observe(observed.vm, toVmObservation(observed.vm, observed.state, observed.lastSeen, *record));
        }
    }
}

void ControlPlane::publishOwnObservations(TimePoint now)
{
    TimePoint oldestSeen = now;
    for (const auto &[vm, engine] : probed_) {
        if (now - engine.seenAt > UnseenAfter) {
            membership_.setObservation(vm, toServerState(engine.state, false));
        } else {
            oldestSeen = std::min(oldestSeen, engine.seenAt);
        }
    }
    membership_.table().markProbed(oldestSeen);
}

}
