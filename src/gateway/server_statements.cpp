#include "gateway/server_statements.h"

#include "core/time_units.h"
#include "observe/log.h"
#include "observe/metrics.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace carawaypoint
{

namespace
{

/// A server that leaves is gone after seconds to minutes; after this time its statement is not needed.
constexpr Duration LeavingRetention = minutes(10);

}

std::optional<Duration> parseDeferral(std::string_view text)
{
    double time = 0; // seconds
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), time, std::chars_format::fixed);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(time) || time <= 0) {
        return std::nullopt;
    }
    const auto longest = inSeconds(ServerStatements::MaxDeferral);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(time, longest)));
}

ServerStatements::Statement &ServerStatements::findOrAdd(const ServingTarget &server, TimePoint now)
{
    auto &statement = statements_[server.server];
    if (statement.startedAt != server.startedAt) {
        statement = {server.startedAt, now, false, {}};
    }
    statement.at = now;
    return statement;
}

const ServerStatements::Statement *ServerStatements::find(const VmId &server, std::uint64_t startedAt) const
{
    const auto found = statements_.find(server);
    return found == statements_.end() || found->second.startedAt != startedAt ? nullptr : &found->second;
}

void ServerStatements::recordLeaving(const ServingTarget &server, std::string_view request, TimePoint now)
{
    auto &statement = findOrAdd(server, now);
    if (std::exchange(statement.isLeaving, true)) {
        return;
    }
    metricsRegistry().count(CounterMetric::ServerStatements, "leaving");
    logDecision("routing", server.server.str(), "leaving", "stated in a response", {{"request", request}, {"started_at", server.startedAt}});
}

void ServerStatements::recordDeferral(const ServingTarget &server, Duration time, std::string_view request, TimePoint now)
{
    auto &statement = findOrAdd(server, now);
    const bool isDeferred = statement.deferredUntil > now;
    statement.deferredUntil = std::max(statement.deferredUntil, now + time);
    metricsRegistry().count(CounterMetric::ServerStatements, "deferred");
    if (!isDeferred) {
        logDecision("routing", server.server.str(), "deferred", "Retry-After in a response",
                    {{"request", request}, {"started_at", server.startedAt}, {"time_ms", inMilliseconds(time)}});
    }
}

bool ServerStatements::isLeaving(const VmId &server, std::uint64_t startedAt) const
{
    const auto *statement = find(server, startedAt);
    return statement != nullptr && statement->isLeaving;
}

std::vector<VmId> ServerStatements::unavailable(std::span<const ServingTarget> targets, TimePoint now) const
{
    std::vector<VmId> servers;
    if (statements_.empty()) {
        return servers;
    }
    for (const auto &target : targets) {
        const auto *statement = find(target.server, target.startedAt);
        if (statement != nullptr && (statement->isLeaving || statement->deferredUntil > now)) {
            servers.push_back(target.server);
        }
    }
    return servers;
}

std::optional<Duration> ServerStatements::firstDeferralLeft(std::span<const ServingTarget> targets, TimePoint now) const
{
    std::optional<Duration> first;
    for (const auto &target : targets) {
        const auto *statement = find(target.server, target.startedAt);
        if (statement != nullptr && !statement->isLeaving && statement->deferredUntil > now) {
            first = std::min(first.value_or(MaxDeferral), statement->deferredUntil - now);
        }
    }
    return first;
}

void ServerStatements::expire(TimePoint now)
{
    for (auto &[server, statement] : statements_) {
        if (statement.deferredUntil != TimePoint{} && statement.deferredUntil <= now) {
            statement.deferredUntil = {};
            logDecision("routing", server.str(), "accepts requests again", "the time of its Retry-After is over", {{"started_at", statement.startedAt}});
        }
    }
    std::erase_if(statements_, [now](const auto &entry) {
        const auto &statement = entry.second;
        return statement.deferredUntil == TimePoint{} && (!statement.isLeaving || now - statement.at >= LeavingRetention);
    });
}

}
