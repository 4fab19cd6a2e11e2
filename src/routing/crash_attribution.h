#pragma once

#include "core/clock.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawaypoint
{

/// Something that requests can share: a part of their prompt, or the fingerprint of the whole request, which comes again unchanged.
using TraitId = std::uint64_t;

/// Identifies the end of one server process, so that gateways that saw the same one count it once.
using CrashId = std::uint64_t;

CrashId makeCrashId(std::string_view server, std::uint64_t startedAt);

/// A crash that a request with a trait may have caused.
struct TraitCrash {
    CrashId id = 0;
    Duration age{}; // at the time of sending
    bool isDisproved = false; // a server has answered a request with the trait since

    bool operator==(const TraitCrash &) const = default;
};

/// What a gateway knows of one trait, as sent to others.
struct TraitEvidence {
    TraitId trait = 0;
    std::vector<TraitCrash> crashes;

    bool operator==(const TraitEvidence &) const = default;
};

struct CrashAttributionSettings {
    /// Least number of crashes until a trait is quarantined. Servers are also lost for other reasons, and one or two of these can hit
    /// requests with the same trait.
    unsigned minCrashes = 3;
    /// More crashes are needed while many requests lose their servers, so that the probability of all crashes of a trait without an
    /// answer in between is at most this if the trait has no part in them.
    double maxErrorProbability = 1e-6;
    Duration lossWindow{seconds(15)}; // in which the share of requests that lose their servers is measured
    /// Crashes closer to each other count once: many servers are lost at once when a rack, a zone or a network fails.
    Duration burstTime{milliseconds(100)};
    /// A crash is not attributed to a trait that a server answered within this time before it.
    Duration recentAnswerTime{seconds(2)};
    Duration quarantineTime{minutes(10)}; // since the last crash; zero turns the quarantine off
    /// Evidence is kept for this time after the quarantine, so that one more crash renews it.
    Duration retention{hours(1)};
    Duration disprovedRetention{minutes(1)}; // since the answer; copies of disproved evidence can still arrive
    Duration sendTime{milliseconds(1500)}; // changed evidence is sent in all messages for this time, since some of them are lost
    /// Several times the traits of the requests that one crash hits, so that a trait is still known when it crashes the next server.
    std::size_t maxTraits = 256;
    std::size_t maxCrashesPerTrait = 16;
};

/// Finds which traits of requests crash the servers that run them, from the servers that were lost and the requests that had not been
/// answered there. Does no I/O; the time is passed in. Memory is bounded.
///
/// The requests with a harmful trait may differ in everything else, and share everything else with sound requests. A trait is therefore
/// quarantined after several crashes without an answer in between, unless another trait explains all of its crashes and further ones.
/// Traits with the same crashes cannot be told apart, and only requests with all of them are refused.
///
/// Gateways exchange their evidence. It only grows (crashes are added, and become disproved), so that lost, repeated and
/// reordered messages do no harm.
class CrashAttribution
{
public:
    explicit CrashAttribution(CrashAttributionSettings settings = {});

    /// A server ended before it answered a request with @p traits, or just after it had begun.
    void recordCrash(CrashId crash, std::span<const TraitId> traits, TimePoint now);
    /// A server has answered a request with @p traits, or so much of it that the request cannot be what crashes servers.
    void recordAnswer(std::span<const TraitId> traits, TimePoint now);
    /// Adds the evidence of another gateway.
    void merge(std::span<const TraitEvidence> evidence, TimePoint now);
    void setQuarantineTime(Duration time, TimePoint now);

    /// Time until the quarantine of requests with @p traits ends; zero when they are not refused.
    Duration quarantineLeft(std::span<const TraitId> traits, TimePoint now) const;
    /// Whether a crash other than @p except is attributed to one of @p traits.
    bool isSuspect(std::span<const TraitId> traits, CrashId except) const;
    /// Evidence that changed recently, or with @p all also the rest that is not disproved. Traits with more crashes go first.
    std::vector<TraitEvidence> evidence(bool all, TimePoint now) const;
    /// Removes outdated evidence.
    void expire(TimePoint now);

    /// A change of what is refused since the last call.
    struct Change {
        std::vector<TraitId> traits;
        bool isQuarantined = false;
        std::size_t crashes = 0;
    };
    std::vector<Change> takeChanges();
    std::size_t quarantineCount() const
    {
        return groups_.size();
    }

private:
    struct Crash {
        CrashId id = 0;
        TimePoint at{};
        bool isDisproved = false;
        TimePoint disprovedAt{};
    };
    struct Trait {
        std::vector<Crash> crashes; // by time
        TimePoint changedAt{};

        std::size_t activeCount() const;
        std::vector<CrashId> activeIds() const; // ascending
        TimePoint lastActiveAt() const;
    };
    /// Traits with the same crashes. Requests with all of them are refused.
    struct Group {
        std::vector<TraitId> traits; // ascending
        std::vector<CrashId> crashes; // ascending
        TimePoint lastCrashAt{};
    };
    /// Requests of this gateway, by whether their servers answered them or were lost before that.
    struct RequestCounts {
        unsigned answered = 0;
        unsigned lost = 0;
    };
    struct Answer {
        TraitId trait = 0;
        TimePoint at{};
    };

    static void sortByTime(std::vector<Crash> &crashes);
    bool mergeCrash(TraitId trait, const Crash &crash, TimePoint now);
    Duration retention() const
    {
        return settings_.quarantineTime + settings_.retention;
    }
    Trait *findOrAdd(TraitId trait);
    bool wasAnsweredSince(TraitId trait, TimePoint since) const;
    unsigned countBursts(const Trait &trait) const;
    void startWindow(TimePoint now);
    double lossShare() const;
    unsigned crashesNeeded() const;
    bool isQuarantined(TraitId id, const Trait &trait, TimePoint now) const;
    std::vector<Group> findGroups(TimePoint now) const;
    void updateGroups(TimePoint now);

    CrashAttributionSettings settings_;
    std::unordered_map<TraitId, Trait> traits_;
    RequestCounts counts_; // since countsStartedAt_
    RequestCounts earlierCounts_; // in the window before
    TimePoint countsStartedAt_{};
    std::vector<Group> groups_; // quarantined
    std::vector<Change> changes_;
    std::vector<Answer> answers_; // the latest one of each trait; a slot is shared by traits with the same remainder
};

}
