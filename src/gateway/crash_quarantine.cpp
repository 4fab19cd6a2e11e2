#include "gateway/crash_quarantine.h"

#include "observe/log.h"
#include "observe/metrics.h"

#include <array>
#include <cstdio>
#include <string>

namespace carawaypoint
{

namespace
{

/// One of this many reports has all evidence, for gateways that have started or were cut off since it changed. Odd, since a relay sends
/// sums with every second report only.
constexpr unsigned CompleteReportInterval = 13;

CrashAttributionSettings makeSettings(Duration quarantineTime)
{
    CrashAttributionSettings settings;
    settings.quarantineTime = quarantineTime;
    return settings;
}

std::string toHex(std::span<const TraitId> traits)
{
    std::string text;
    for (const auto trait : traits) {
        std::array<char, 18> hex{};
        std::snprintf(hex.data(), hex.size(), "%016llx", static_cast<unsigned long long>(trait));
        text += text.empty() ? "" : ",";
        text += hex.data();
    }
    return text;
}

}

CrashQuarantine::CrashQuarantine(Duration time)
    : attribution_(makeSettings(time))
{
}

void CrashQuarantine::setTime(Duration time, TimePoint now)
{
    attribution_.setQuarantineTime(time, now);
    writeChanges("the configured time changed");
}

CrashId CrashQuarantine::recordLostServer(const VmId &server, std::uint64_t startedAt, std::string_view request, std::span<const TraitId> traits, TimePoint now)
{
    const auto crash = makeCrashId(server.str(), startedAt);
    metricsRegistry().count(CounterMetric::CrashEvidence, "own");
    logDecision("quarantine", request, "crash recorded", "the server was lost before it answered the request, or just after it had begun",
                {{"server", server.str()}, {"started_at", startedAt}, {"traits", toHex(traits)}});
    attribution_.recordCrash(crash, traits, now);
    writeChanges("own evidence");
    return crash;
}

void CrashQuarantine::recordAnswer(std::span<const TraitId> traits, TimePoint now)
{
    attribution_.recordAnswer(traits, now);
    writeChanges("a server answered a request with these traits");
}

void CrashQuarantine::merge(const MemberId &source, std::span<const TraitEvidence> evidence, TimePoint now)
{
    if (evidence.empty()) {
        return;
    }
    metricsRegistry().count(CounterMetric::CrashEvidence, "peer");
    attribution_.merge(evidence, now);
    writeChanges("evidence of " + source.str());
}

std::vector<TraitEvidence> CrashQuarantine::evidenceForReport(TimePoint now)
{
    return attribution_.evidence(++reports_ % CompleteReportInterval == 0, now);
}

void CrashQuarantine::expire(TimePoint now)
{
    attribution_.expire(now);
    writeChanges("the time is over");
}

void CrashQuarantine::writeChanges(std::string_view reason)
{
    const auto changes = attribution_.takeChanges();
    for (const auto &change : changes) {
        logDecision("quarantine", toHex(change.traits), change.isQuarantined ? "refused from now on" : "admitted again", reason,
                    {{"crashes", static_cast<std::uint64_t>(change.crashes)}});
    }
    if (!changes.empty()) {
        metricsRegistry().set(GaugeMetric::QuarantinedTraits, {}, static_cast<double>(attribution_.quarantineCount()));
    }
}

}
