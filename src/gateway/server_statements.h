#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "fleet/replica_view.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawaypoint
{

/// Reads the time in a Retry-After field of a server: decimal seconds, with fractions. Empty for values that are not positive or malformed;
/// longer times than MaxDeferral count as MaxDeferral.
std::optional<Duration> parseDeferral(std::string_view text);

/// What backend servers state of themselves in their responses: that they leave, or that they accept no requests for some time. A statement
/// holds for the process that made it; the next one at the same address starts without. Used on the traffic thread only.
class ServerStatements
{
public:
    /// A server that asks for more time is tried again after this, since it may have meant milliseconds.
    static constexpr Duration MaxDeferral = minutes(5);

    void recordLeaving(const ServingTarget &server, std::string_view request, TimePoint now);
    /// The server refused @p request and asks for no further ones for @p time.
    void recordDeferral(const ServingTarget &server, Duration time, std::string_view request, TimePoint now);

    bool isLeaving(const VmId &server, std::uint64_t startedAt) const;
    /// Those of @p targets that must get no request now.
    std::vector<VmId> unavailable(std::span<const ServingTarget> targets, TimePoint now) const;
    /// Time until the first server of @p targets that defers requests accepts them again; empty when none defers.
    std::optional<Duration> firstDeferralLeft(std::span<const ServingTarget> targets, TimePoint now) const;
    /// Removes outdated statements.
    void expire(TimePoint now);

private:
    struct Statement {
        std::uint64_t startedAt = 0; // of the server
        TimePoint at{};
        bool isLeaving = false;
        TimePoint deferredUntil{};
    };

    Statement &findOrAdd(const ServingTarget &server, TimePoint now);
    const Statement *find(const VmId &server, std::uint64_t startedAt) const;

    std::unordered_map<VmId, Statement> statements_;
};

}
