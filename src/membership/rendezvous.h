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

/// Key of a member's shared state; each process of the member has its own key.
std::uint32_t ownerKey(const MemberId &id, std::uint64_t process);

/// The @p count members with the highest rendezvous hash for @p subject, highest first. When a member ends, only the subjects
/// that it was chosen for get another member. Cost: one hash per member.
std::vector<MemberId> chooseByRendezvous(std::span<const MemberId> members, std::string_view subject, std::size_t count);

}
