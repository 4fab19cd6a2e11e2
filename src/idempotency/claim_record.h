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

/// The server's answer, stored so that it can be returned for a re-sent call.
struct RecordedAnswer {
    unsigned status = 0;
    std::string contentType;
    std::string body; // UTF-8
    bool isBodyOmitted = false; // the body was too large or not UTF-8
};

/// The value of the object `claim/<service>/<key>`. It is written twice per call: with the state `claimed` before the call is
/// sent, and with the outcome afterwards.
struct ClaimRecord {
    enum class State : std::uint8_t {
        Claimed,
        Completed,
        NotRun,
        Unknown,
    };
    State state = State::Claimed;
    std::string token; // of the writer; identifies its own write when the response to the write was lost
    ClaimOwner owner;
    std::string fingerprint; // of the call
    RecordedAnswer answer; // when state is Completed
};

std::string_view claimRecordStateName(ClaimRecord::State state);
std::string serializeClaim(const ClaimRecord &record);
/// Empty when @p text is malformed.
std::optional<ClaimRecord> parseClaim(std::string_view text);

}
