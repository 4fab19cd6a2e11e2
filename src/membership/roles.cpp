#include "membership/roles.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace carawaypoint
{

std::vector<MemberId> probersOf(const VmId &vm, std::span<const MemberId> liveInZone)
{
    return chooseByRendezvous(liveInZone, "prober/" + vm.str(), ProbersPerServer);
}

std::vector<MemberId> watchersOf(const ZoneId &zone, std::span<const MemberId> liveInZone)
{
    return chooseByRendezvous(liveInZone, "watcher/" + zone.str(), WatchersPerZone);
}

std::vector<MemberId> bridgesOf(const ZoneId &from, const ZoneId &to, std::span<const MemberId> liveInFrom)
{
    return chooseByRendezvous(liveInFrom, "bridge/" + from.str() + "/" + to.str(), BridgesPerZonePair);
}

MemberId oldestMember(std::span<const MemberRecord> liveInZone)
{
    const auto oldest = std::min_element(liveInZone.begin(), liveInZone.end(),
                                         [](const auto &a, const auto &b) { return std::tie(a.process, a.id) < std::tie(b.process, b.id); });
    return oldest == liveInZone.end() ? MemberId{} : oldest->id;
}

}
