#include "gateway/relay_plan.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <map>

namespace carawaypoint
{

namespace
{

std::vector<MemberId> relaysOf(const ZoneId &zone, std::span<const MemberId> members)
{
    return chooseByRendezvous(members, zone.str(), RelayPlan::RelaysPerZone);
}

bool contains(std::span<const MemberId> members, const MemberId &id)
{
    return std::find(members.begin(), members.end(), id) != members.end();
}

}

RelayPlan::RelayPlan(const MemberId &self, const ZoneId &zone, std::span<const PeerGateway> peers)
    : isDirect_(peers.size() <= MaxDirectPeers)
{
    if (isDirect_) {
        reportReceivers_.assign(peers.begin(), peers.end());
        return;
    }
    std::map<ZoneId, std::vector<MemberId>> membersByZone;
    membersByZone[zone].push_back(self);
    for (const auto &peer : peers) {
        membersByZone[peer.zone].push_back(peer.id);
    }
    std::map<ZoneId, std::vector<MemberId>> relays;
    for (const auto &[name, members] : membersByZone) {
        relays[name] = relaysOf(name, members);
    }
    isRelay_ = contains(relays[zone], self);
    for (const auto &peer : peers) {
        const bool isPeerRelay = contains(relays[peer.zone], peer.id);
        // Relays of the same zone do not exchange sums: each receives the original reports, and forwarded sums would loop between them.
        if (peer.zone == zone && isRelay_ && !isPeerRelay) {
            zonePeers_.push_back(peer);
        }
        if (isPeerRelay) {
            (peer.zone == zone ? reportReceivers_ : otherZoneRelays_).push_back(peer);
        }
    }
}

}
