#pragma once

#include "core/clock.h"
#include "membership/peer_calls.h"

#include <map>
#include <string_view>
#include <vector>

namespace carawaypoint
{

std::uint64_t configurationDigest(std::string_view text);

/// Which configuration a daemon may put in force. Pure.
class GenerationTracker
{
public:
    enum class Outcome : std::uint8_t {
        Applied,
        Unchanged,
        Older, // refused; when the platform offered it, the one in force has to be written back
        DigestFault, // the same generation with another text: refused, to be reported
    };

    struct MemberStatus {
        MemberId member;
        std::uint64_t generation = 0;
        std::uint64_t digest = 0;
        TimePoint since{}; // when this daemon first knew it
    };

    /// Takes @p offered over when its generation is higher than the one in force, whatever its source.
    Outcome offer(ConfigurationText offered);

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

    /// Notes what a member has in force. Returns DigestFault when it has this daemon's generation with another text.
    Outcome noteMember(const MemberId &member, std::uint64_t generation, std::uint64_t digest, TimePoint now);
    void forgetMember(const MemberId &member);
    std::vector<MemberStatus> memberStatus() const;

private:
    ConfigurationText inForce_;
    std::map<MemberId, MemberStatus> members_;
};

}
