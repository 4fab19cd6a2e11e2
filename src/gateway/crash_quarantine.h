#pragma once

#include "core/ids.h"
#include "routing/crash_attribution.h"

#include <span>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// Refuses requests that crash backend servers, by the evidence of all gateways; writes log lines and metrics. Used on the traffic thread only.
class CrashQuarantine
{
public:
    /// @param time for which requests are refused after the last crash; zero turns the quarantine off.
    explicit CrashQuarantine(Duration time);

    void setTime(Duration time, TimePoint now);
    /// The server @p server, started at @p startedAt, was lost before it answered @p request, or just after it had begun.
    CrashId recordLostServer(const VmId &server, std::uint64_t startedAt, std::string_view request, std::span<const TraitId> traits, TimePoint now);
    void recordAnswer(std::span<const TraitId> traits, TimePoint now);
    void merge(const MemberId &source, std::span<const TraitEvidence> evidence, TimePoint now);

    /// Time until requests with @p traits are admitted again; zero when they are admitted now.
    Duration timeLeft(std::span<const TraitId> traits, TimePoint now) const
    {
        return attribution_.quarantineLeft(traits, now);
    }
    /// Whether a request with @p traits was lost with another server than that of @p crash.
    bool isSuspect(std::span<const TraitId> traits, CrashId crash) const
    {
        return attribution_.isSuspect(traits, crash);
    }
    /// Evidence for the next report to other gateways. Called once for each report.
    std::vector<TraitEvidence> evidenceForReport(TimePoint now);
    /// Removes outdated evidence. Called several times a minute.
    void expire(TimePoint now);

private:
    void writeChanges(std::string_view reason);

    CrashAttribution attribution_;
    unsigned reports_ = 0;
};

}
