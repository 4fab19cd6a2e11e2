#include "membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace carawaypoint
{

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint32_t keyHash(std::string_view id)
{
    return static_cast<std::uint32_t>(hash64(id));
}

std::uint32_t ownerKey(const MemberId &id, std::uint64_t process)
{
    return static_cast<std::uint32_t>(hash64(id.str(), process));
}

std::vector<MemberId> chooseByRendezvous(std::span<const MemberId> members, std::string_view subject, std::size_t count)
{
    const auto seed = hash64(subject);
    std::vector<std::pair<std::uint64_t, const MemberId *>> ranked;
    ranked.reserve(members.size());
    for (const auto &member : members) {
        ranked.emplace_back(hash64(member.str(), seed), &member);
    }
    const auto kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end(),
                      [](const auto &a, const auto &b) { return a.first != b.first ? a.first > b.first : *a.second < *b.second; });
    std::vector<MemberId> chosen;
    for (std::size_t i = 0; i < kept; ++i) {
        chosen.push_back(*ranked[i].second);
    }
    return chosen;
}

}
