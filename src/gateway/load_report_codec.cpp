#include "gateway/load_report_codec.h"

#include "core/time_units.h"
#include "gateway/load_report.capnp.h"
#include "protocol/packed_message.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <cmath>

namespace carawaypoint
{

namespace
{
/// More unmet requests of one pool than any fleet can have; a report with more is invalid.
constexpr double MaxUnmetRequests = 1e6;
/// Older counts are not used at all; a report with more is malformed.
constexpr Duration MaxCountAge = seconds(2);
/// Traits in one report: as many as one request can have, 32 parts and itself. Those with most crashes are sent.
constexpr std::size_t MaxTraits = 33;
constexpr std::size_t MaxCrashes = 8; // latest ones of one trait

void encodeEvidence(std::span<const TraitEvidence> evidence, wire::LoadReport::Builder root)
{
    auto traits = root.initCrashEvidence(static_cast<unsigned>(std::min(evidence.size(), MaxTraits)));
    for (unsigned i = 0; i < traits.size(); ++i) {
        const auto &source = evidence[i];
        traits[i].setTrait(source.trait);
        auto crashes = traits[i].initCrashes(static_cast<unsigned>(std::min(source.crashes.size(), MaxCrashes)));
        const auto skipped = source.crashes.size() - crashes.size();
        for (unsigned j = 0; j < crashes.size(); ++j) {
            const auto &crash = source.crashes[skipped + j];
            crashes[j].setId(crash.id);
            crashes[j].setAgeMs(static_cast<std::uint32_t>(inMilliseconds(crash.age)));
            crashes[j].setIsDisproved(crash.isDisproved);
        }
    }
}

std::vector<TraitEvidence> decodeEvidence(wire::LoadReport::Reader root)
{
    std::vector<TraitEvidence> evidence;
    for (const auto trait : root.getCrashEvidence()) {
        if (evidence.size() == MaxTraits) {
            break;
        }
        auto &target = evidence.emplace_back(TraitEvidence{trait.getTrait(), {}});
        for (const auto crash : trait.getCrashes()) {
            if (target.crashes.size() < MaxCrashes) {
                target.crashes.push_back({crash.getId(), milliseconds(crash.getAgeMs()), crash.getIsDisproved()});
            }
        }
    }
    return evidence;
}

}

std::vector<std::byte> encodeReport(const GatewayLoadReport &report)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::LoadReport>();
    root.setGateway(report.gateway.str());
    root.setProcess(report.process);
    root.setSequence(report.sequence);
    root.setRequestsBegun(report.requestsStarted);
    root.setZone(report.zone.str());
    root.setIsFleetSum(report.isFleetSum);
    root.setCountAgeMs(static_cast<std::uint32_t>(std::max<std::int64_t>(0, inMilliseconds(report.countAge))));
    auto unmet = root.initUnmet(static_cast<unsigned>(report.unmet.size()));
    for (unsigned i = 0; i < unmet.size(); ++i) {
        unmet[i].setService(report.unmet[i].pool.first.str());
        unmet[i].setModel(report.unmet[i].pool.second.str());
        unmet[i].setRequests(static_cast<float>(report.unmet[i].requests));
    }
    encodeEvidence(report.crashEvidence, root);
    auto loads = root.initLoads(static_cast<unsigned>(report.loads.size()));
    for (unsigned i = 0; i < loads.size(); ++i) {
        loads[i].setServer(report.loads[i].server.str());
        loads[i].setRequests(report.loads[i].requests);
        loads[i].setUnreadTokens(report.loads[i].pendingPrefillTokens);
        loads[i].setIsStalled(report.loads[i].isStalled);
        loads[i].setIsProgressing(report.loads[i].isProgressing);
    }
    return packMessage(message);
}

std::optional<GatewayLoadReport> decodeReport(std::span<const std::byte> bytes)
{
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader message(in);
        const auto root = message.getRoot<wire::LoadReport>();
        GatewayLoadReport report;
        report.gateway = MemberId(root.getGateway().cStr());
        report.process = root.getProcess();
        report.sequence = root.getSequence();
        report.requestsStarted = root.getRequestsBegun();
        report.zone = ZoneId(root.getZone().cStr());
        report.isFleetSum = root.getIsFleetSum();
        report.countAge = std::min<Duration>(milliseconds(root.getCountAgeMs()), MaxCountAge);
        for (const auto unmet : root.getUnmet()) {
            const double requests = unmet.getRequests();
            if (std::isfinite(requests) && requests > 0 && requests <= MaxUnmetRequests) {
                report.unmet.push_back({{ServiceId(unmet.getService().cStr()), ModelId(unmet.getModel().cStr())}, requests});
            }
        }
        report.crashEvidence = decodeEvidence(root);
        for (const auto load : root.getLoads()) {
            report.loads.push_back({VmId(load.getServer().cStr()), load.getRequests(), load.getUnreadTokens(), load.getIsStalled(), load.getIsProgressing()});
        }
        return report;
    } catch (const kj::Exception &) {
        return std::nullopt;
    }
}

}
