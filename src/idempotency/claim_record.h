#pragma once

#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawaypoint
{

/// The process that created a claim.
struct ClaimOwner {
    MemberId member;
    std::uint64_t process = 0; // incarnation

    bool operator==(const ClaimOwner &) const = default;
};

/// The server's answer as it is kept for re-sent calls.
struct RecordedAnswer {
    unsigned status = 0;
    std::string contentType;
    std::string body; // UTF-8
    bool isBodyOmitted = false; // it was too large to keep
};

/// The value of the object `claim/<service>/<key>`. Two writes per call: it says `claimed` before and while the call
/// runs, and its outcome afterwards.
struct ClaimRecord {
    enum class State : std::uint8_t {
        Claimed,
        Completed,
        NotRun,
        Unknown,
    };
    State state = State::Claimed;
    std::string token; // of the writer; tells its own write from another's after a lost answer
    ClaimOwner owner;
    std::string fingerprint; // of the call
    RecordedAnswer answer; // when state is Completed
};

std::string_view claimRecordStateName(ClaimRecord::State state);
std::string serializeClaim(const ClaimRecord &record);
/// Empty when @p text has another form.
std::optional<ClaimRecord> parseClaim(std::string_view text);

}
