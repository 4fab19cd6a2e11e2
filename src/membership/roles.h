#pragma once

#include "membership/messages.h"

#include <span>
#include <string_view>
#include <vector>

namespace carawaypoint
{

constexpr std::size_t ProbersPerServer = 2;
constexpr std::size_t WatchersPerZone = 2;
constexpr std::size_t BridgesPerZonePair = 2;

/// The members that probe @p vm, chosen among the live members of its zone.
std::vector<MemberId> probersOf(const VmId &vm, std::span<const MemberId> liveInZone);

/// The members of @p zone that watch the platform.
std::vector<MemberId> watchersOf(const ZoneId &zone, std::span<const MemberId> liveInZone);

/// The members of zone @p from that exchange state with zone @p to.
std::vector<MemberId> bridgesOf(const ZoneId &from, const ZoneId &to, std::span<const MemberId> liveInFrom);

/// The live member whose process started first; it reports the zone's alarms. Empty when there is none.
MemberId oldestMember(std::span<const MemberRecord> liveInZone);

}
