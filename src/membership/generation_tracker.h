#pragma once

#include "core/clock.h"
#include "membership/peer_calls.h"

#include <map>
#include <string_view>
#include <vector>

namespace carawaypoint
{

std::uint64_t configurationDigest(std::string_view text);

/// Decides which configuration a daemon puts in force, and keeps the generation of each member. Performs no I/O.
class GenerationTracker
{
public:
    enum class Outcome : std::uint8_t {
        Applied,
        Unchanged,
        Older, // rejected; if it came from the platform, the one in force has to be written back
        DigestMismatch, // the same generation with a different text: rejected, to be reported
    };

    struct MemberStatus {
        MemberId member;
        std::uint64_t generation = 0;
        std::uint64_t digest = 0;
        TimePoint since{}; // when this daemon first learnt of this generation
    };

    /// Puts @p offered in force when its generation is higher than the current one, whatever its source.
    Outcome applyIfNewer(ConfigurationText offered);

    /// 0 until a configuration is in force; the daemon is not ready until then.
    std::uint64_t generation() const
    {
        return inForce_.generation;
    }
    const ConfigurationText &inForce() const
    {
        return inForce_;
    }
    bool isReady() const
    {
        return inForce_.generation != 0;
    }

    /// Stores the generation that a member has in force. Returns DigestMismatch when the member has this daemon's generation with
    /// a different text.
    Outcome recordMember(const MemberId &member, std::uint64_t generation, std::uint64_t digest, TimePoint now);
    void forgetMember(const MemberId &member);
    std::vector<MemberStatus> memberStatus() const;

private:
    ConfigurationText inForce_;
    std::map<MemberId, MemberStatus> members_;
};

}
