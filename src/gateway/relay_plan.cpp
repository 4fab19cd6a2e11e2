#include "gateway/relay_plan.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <functional>
#include <map>

namespace carawaypoint
{

namespace
{

/// Members of a zone by the bandwidth of their links, the fastest first.
using MembersByLink = std::map<unsigned, std::vector<MemberId>, std::greater<>>;

/// Relays carry the traffic of a whole zone, so that gateways with slow links are chosen only when there are no others.
std::vector<MemberId> relaysOf(const ZoneId &zone, const MembersByLink &membersByLink, std::size_t count)
{
    std::vector<MemberId> relays;
    for (const auto &[linkMbps, members] : membersByLink) {
        if (relays.size() >= count) {
            break;
        }
        const auto chosen = chooseByRendezvous(members, zone.str(), count - relays.size());
        relays.insert(relays.end(), chosen.begin(), chosen.end());
    }
    return relays;
}

bool contains(std::span<const MemberId> members, const MemberId &id)
{
    return std::find(members.begin(), members.end(), id) != members.end();
}

}

RelayPlan::RelayPlan(const PeerGateway &self, std::span<const PeerGateway> peers, const RelayAbsence &absence)
    : isDirect_(peers.size() <= MaxDirectPeers)
{
    if (isDirect_) {
        reportReceivers_.assign(peers.begin(), peers.end());
        return;
    }
    const auto &zone = self.zone;
    std::map<ZoneId, MembersByLink> membersByZone;
    membersByZone[zone][self.linkMbps].push_back(self.id);
    for (const auto &peer : peers) {
        if (!absence.silent.contains(peer.id)) {
            membersByZone[peer.zone][peer.linkMbps].push_back(peer.id);
        }
    }
    std::map<ZoneId, std::vector<MemberId>> relays;
    for (const auto &[name, members] : membersByZone) {
        const auto substitutes = name == zone ? std::min(absence.substitutes, RelaysPerZone) : 0;
        relays[name] = relaysOf(name, members, RelaysPerZone - substitutes);
    }
    const auto &own = relays[zone];
    isRelay_ = contains(own, self.id);
    relayRank_ = static_cast<std::size_t>(std::find(own.begin(), own.end(), self.id) - own.begin());
    for (const auto &peer : peers) {
        const bool isPeerRelay = contains(relays[peer.zone], peer.id);
        // Relays of the same zone do not exchange sums: each receives the original reports, and forwarded sums would loop between them.
        if (peer.zone == zone && isRelay_ && !isPeerRelay) {
            zonePeers_.push_back(peer);
        }
        if (peer.zone == zone && isRelay_) {
            changeReceivers_.push_back(peer);
        }
        if (isPeerRelay) {
            (peer.zone == zone ? reportReceivers_ : otherZoneRelays_).push_back(peer);
        }
    }
}

}
