#pragma once

#include "membership/messages.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace carawaypoint
{

std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// Key of a customer or replica in KeyCount.
std::uint32_t keyHash(std::string_view id);

/// Key of a member's state; another process of the same member has another key.
std::uint32_t ownerKey(const MemberId &id, std::uint64_t process);

/// The @p count members with the highest rendezvous hash for @p subject, best first. A member's end moves only the
/// subjects that it was chosen for. Cost: one hash per member.
std::vector<MemberId> chooseByRendezvous(std::span<const MemberId> members, std::string_view subject, std::size_t count);

}
