#include "membership/generation_tracker.h"

#include "membership/rendezvous.h"

namespace carawaypoint
{

std::uint64_t configurationDigest(std::string_view text)
{
    return hash64(text);
}

GenerationTracker::Outcome GenerationTracker::applyIfNewer(ConfigurationText offered)
{
    offered.digest = configurationDigest(offered.text);
    if (offered.generation < inForce_.generation) {
        return Outcome::Older;
    }
    if (offered.generation == inForce_.generation) {
        return offered.generation == 0 || offered.digest == inForce_.digest ? Outcome::Unchanged : Outcome::DigestMismatch;
    }
    inForce_ = std::move(offered);
    return Outcome::Applied;
}

GenerationTracker::Outcome GenerationTracker::recordMember(const MemberId &member, std::uint64_t generation, std::uint64_t digest, TimePoint now)
{
    auto &status = members_[member];
    if (status.generation != generation || status.digest != digest || status.member.isEmpty()) {
        status = {member, generation, digest, now};
    }
    const bool isFault = generation != 0 && generation == inForce_.generation && digest != inForce_.digest;
    return isFault ? Outcome::DigestMismatch : Outcome::Unchanged;
}

void GenerationTracker::forgetMember(const MemberId &member)
{
    members_.erase(member);
}

std::vector<GenerationTracker::MemberStatus> GenerationTracker::memberStatus() const
{
    std::vector<MemberStatus> result;
    for (const auto &[member, status] : members_) {
        result.push_back(status);
    }
    return result;
}

}
