#include "idempotency/claim_key.h"

#include <cctype>

namespace carawaypoint
{

namespace
{

constexpr std::size_t UuidLength = 36;
constexpr std::size_t VersionPosition = 14;
constexpr std::size_t VariantPosition = 19;
constexpr int TimestampDigits = 12; // 48 bits of milliseconds

bool isHyphenPosition(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

/// The key in lower case; empty when it is not a UUID version 7.
std::string canonicalKey(std::string_view key)
{
    if (key.size() != UuidLength) {
        return {};
    }
    std::string canonical(key);
    for (std::size_t position = 0; position < UuidLength; ++position) {
        auto &letter = canonical[position];
        const auto value = static_cast<unsigned char>(letter);
        if (isHyphenPosition(position) ? letter != '-' : std::isxdigit(value) == 0) {
            return {};
        }
        letter = static_cast<char>(std::tolower(value));
    }
    constexpr std::string_view Variants = "89ab";
    return canonical[VersionPosition] == '7' && Variants.find(canonical[VariantPosition]) != std::string_view::npos ? canonical : std::string();
}

WallTime timestampOf(std::string_view canonical)
{
    std::int64_t value = 0;
    int digits = 0;
    for (std::size_t position = 0; digits < TimestampDigits; ++position) {
        if (isHyphenPosition(position)) {
            continue;
        }
        const char letter = canonical[position];
        value = value * 16 + (letter <= '9' ? letter - '0' : letter - 'a' + 10);
        ++digits;
    }
    return WallTime(value);
}

}

ClaimKeyCheck checkClaimKey(std::string_view key, WallTime now, const ClaimKeyLimits &limits)
{
    ClaimKeyCheck check;
    if (key.empty()) {
        check.code = ResultCode::KeyRequired;
        return check;
    }
    check.key = canonicalKey(key);
    if (check.key.empty()) {
        check.code = ResultCode::KeyInvalid;
        return check;
    }
    check.createdAt = timestampOf(check.key);
    if (check.createdAt > now + limits.futureTolerance) {
        check.code = ResultCode::KeyInvalid;
    } else if (check.createdAt + limits.retention < now) {
        check.code = ResultCode::KeyExpired;
        check.state = RunState::Unknown;
    }
    return check;
}

}
