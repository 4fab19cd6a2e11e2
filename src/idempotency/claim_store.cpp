#include "idempotency/claim_store.h"

#include "idempotency/claim_store_state.h"
#include "observe/log.h"

#include <array>
#include <cstdio>

namespace carawaypoint
{

namespace
{

ClaimRecord claimedRecord(const ClaimCall &call, const std::string &token, const ClaimOwner &owner)
{
    ClaimRecord record;
    record.token = token;
    record.owner = owner;
    record.fingerprint = call.fingerprint;
    return record;
}

}

ClaimStore::ClaimStore(Dependencies dependencies, const ClaimStoreSettings &settings, std::uint64_t seed)
    : dependencies_(std::move(dependencies))
    , settings_(settings)
    , random_(seed)
    , lastCleanup_(dependencies_.clock->now())
    , alive_(std::make_shared<bool>(true))
{
}

ClaimStore::~ClaimStore()
{
    *alive_ = false;
}

std::string ClaimStore::newToken()
{
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(random_()), static_cast<unsigned long long>(random_()));
    return std::string(text.data()) + "-" + std::to_string(dependencies_.self.process);
}

void ClaimStore::begin(const ClaimCall &call, BeginHandler handler)
{
    const auto begin = std::make_shared<Begin>();
    begin->call = call;
    begin->handler = std::move(handler);
    const auto now = dependencies_.wallTime();
    const auto check = checkClaimKey(call.key, now, settings_.keys);
    if (check.code != ResultCode::Ok) {
        refuseBegin(begin, check.code, check.state, "the key is missing, malformed, too old or from the future");
        return;
    }
    // Callers' clocks may be ahead by the tolerance, so keys of that much after the restore may have been used before it.
    if (restoredAt_ && check.createdAt < *restoredAt_ + settings_.keys.futureTolerance) {
        refuseBegin(begin, ResultCode::OutcomeUnknown, RunState::Unknown, "the platform was restored from an older copy after the key was made");
        return;
    }
    if (claims_.size() >= settings_.maxOpenClaims) {
        refuseBegin(begin, ResultCode::ClaimUnavailable, RunState::Unknown, "too many outcomes wait to be recorded");
        return;
    }
    begin->name = call.service.str() + "/" + check.key;
    begin->token = newToken();
    Claim claim;
    claim.call = call;
    claim.name = begin->name;
    claim.createdAt = check.createdAt;
    claims_.emplace(begin->token, std::move(claim));
    write(begin, WriteCondition::ifAbsent());
}

void ClaimStore::write(const BeginPtr &begin, WriteCondition condition)
{
    if (++begin->tries > settings_.maxTries) {
        refuseBegin(begin, ResultCode::ClaimUnavailable, RunState::Unknown, "the platform does not answer");
        return;
    }
    const auto value = serializeClaim(claimedRecord(begin->call, begin->token, dependencies_.self));
    begin->seenBefore = begin->seenBefore.value_or(highestRevision_);
    dependencies_.objects->put(ObjectKind, begin->name, value, condition, [this, alive = alive_, begin](std::error_code error, std::uint64_t version) {
        if (!*alive) {
            return;
        }
        if (!error) {
            own(begin, version);
            return;
        }
        // After a conflict another claim is read, after a lost answer the token tells whether the write took effect.
        readBack(begin);
    });
}

void ClaimStore::readBack(const BeginPtr &begin)
{
    if (++begin->tries > settings_.maxTries * 2) {
        refuseBegin(begin, ResultCode::ClaimUnavailable, RunState::Unknown, "the platform does not answer");
        return;
    }
    dependencies_.objects->fetch(ObjectKind, begin->name, [this, alive = alive_, begin](std::error_code error, const StoredObject &object) {
        if (!*alive) {
            return;
        }
        if (!error) {
            examine(begin, object);
        } else if (error == ResultCode::ObjectNotFound) {
            // The lost write may still take effect, so the same token is written again.
            write(begin, WriteCondition::ifAbsent());
        } else {
            readBack(begin);
        }
    });
}

void ClaimStore::examine(const BeginPtr &begin, const StoredObject &object)
{
    const auto record = parseClaim(object.value);
    if (!record) {
        refuseBegin(begin, ResultCode::OutcomeUnknown, RunState::Unknown, "the claim's object is malformed");
        return;
    }
    if (record->token == begin->token) {
        own(begin, object.version);
        return;
    }
    observeRevision(object.version);
    if (record->fingerprint != begin->call.fingerprint) {
        refuseBegin(begin, ResultCode::KeyReusedForOtherCall, RunState::NotRun, "the key's claim belongs to another call");
        return;
    }
    switch (record->state) {
    case ClaimRecord::State::Completed:
        end(begin, {ResultCode::OkReplayed, RunState::Completed, {}, record->answer, "the call was completed before"});
        return;
    case ClaimRecord::State::Unknown:
        refuseBegin(begin, ResultCode::OutcomeUnknown, RunState::Unknown, "the outcome of the call is not known");
        return;
    case ClaimRecord::State::NotRun:
        write(begin, WriteCondition::ifVersion(object.version));
        return;
    case ClaimRecord::State::Claimed:
        examineClaimed(begin, {begin->call.service, begin->name.substr(begin->call.service.str().size() + 1), record->token, record->owner}, object.version);
        return;
    }
}

void ClaimStore::examineClaimed(const BeginPtr &begin, const ClaimReference &claim, std::uint64_t version)
{
    if (claim.owner == dependencies_.self) {
        const auto found = claims_.find(claim.token);
        if (found == claims_.end()) {
            // This process closed the claim without sending the call.
            write(begin, WriteCondition::ifVersion(version));
        } else if (found->second.machine.state() == ClaimState::Completed) {
            end(begin, {ResultCode::OkReplayed, RunState::Completed, {}, found->second.answer, "the call was completed and is being recorded"});
        } else if (found->second.machine.state() == ClaimState::Unknown) {
            refuseBegin(begin, ResultCode::OutcomeUnknown, RunState::Unknown, "the outcome of the call is not known");
        } else {
            refuseBegin(begin, ResultCode::KeyInUse, RunState::Unknown, "the call is in progress");
        }
        return;
    }
    dependencies_.peers->relinquish(claim, [this, alive = alive_, begin, claim, version](RelinquishResult result) {
        if (!*alive) {
            return;
        }
        switch (result) {
        case RelinquishResult::Relinquished:
            write(begin, WriteCondition::ifVersion(version));
            return;
        case RelinquishResult::OwnerEnded:
            closeForEndedOwner(begin, claim, version);
            return;
        case RelinquishResult::Refused:
        case RelinquishResult::Unreachable:
            refuseBegin(begin, ResultCode::KeyInUse, RunState::Unknown,
                        result == RelinquishResult::Refused ? "the call is in progress at another entry" : "the entry that holds the claim does not answer");
            return;
        }
    });
}

void ClaimStore::closeForEndedOwner(const BeginPtr &begin, const ClaimReference &claim, std::uint64_t version)
{
    auto record = claimedRecord(begin->call, claim.token, claim.owner);
    record.state = ClaimRecord::State::Unknown;
    dependencies_.objects->put(ObjectKind, begin->name, serializeClaim(record), WriteCondition::ifVersion(version),
                               [this, alive = alive_, begin](std::error_code error, std::uint64_t written) {
                                   if (!*alive) {
                                       return;
                                   }
                                   if (error == ResultCode::VersionConflict) {
                                       readBack(begin); // the owner's outcome, or another daemon was here first
                                       return;
                                   }
                                   observeRevision(error ? 0 : written);
                                   refuseBegin(begin, ResultCode::OutcomeUnknown, RunState::Unknown, "the entry that held the claim ended without an outcome");
                               });
}

void ClaimStore::own(const BeginPtr &begin, std::uint64_t version)
{
    auto &claim = claims_.at(begin->token);
    claim.version = version;
    const bool wasRestored = !noteVersion(version, begin->seenBefore.value_or(0));
    if (!claim.machine.apply(ClaimEvent::Created)) {
        refuseBegin(begin, ResultCode::ClaimUnavailable, RunState::Unknown, "a peer took the claim over");
        return;
    }
    if (wasRestored) {
        claim.machine.apply(ClaimEvent::Dispatch); // an earlier claim of the key may be lost with a call that ran
        claim.machine.apply(ClaimEvent::AnswerLost);
        record(begin->token);
        begin->token.clear();
        refuseBegin(begin, ResultCode::OutcomeUnknown, RunState::Unknown, "the platform was restored from an older copy");
        return;
    }
    end(begin, {ResultCode::Ok, RunState::NotRun, begin->token, {}, "the claim is held"});
}

void ClaimStore::refuseBegin(const BeginPtr &begin, ResultCode code, RunState state, std::string reason)
{
    end(begin, {code, state, {}, {}, std::move(reason)});
}

void ClaimStore::end(const BeginPtr &begin, ClaimBegin result)
{
    if (result.token.empty()) {
        // Without an entry the token is never dispatched, whatever its write still does.
        claims_.erase(begin->token);
    }
    logDecision("claim", begin->call.request.str(), resultCodeName(result.code), result.reason,
                {{"claim", begin->name}, {"token", begin->token}, {"run_state", runStateName(result.state)}});
    begin->handler(std::move(result));
}

RelinquishResult ClaimStore::relinquish(const ClaimReference &claim)
{
    auto result = RelinquishResult::Relinquished;
    if (claim.owner != dependencies_.self) {
        const auto &self = dependencies_.self;
        // Incarnations of one member only grow, so a higher one belongs to a process that replaced this one.
        const bool isEarlier = claim.owner.member == self.member && claim.owner.process < self.process;
        result = isEarlier ? RelinquishResult::OwnerEnded : RelinquishResult::Unreachable;
    } else if (const auto found = claims_.find(claim.token); found != claims_.end()) {
        const bool isGivenUp = found->second.machine.apply(ClaimEvent::Relinquish) || found->second.machine.state() == ClaimState::Relinquished;
        result = isGivenUp ? RelinquishResult::Relinquished : RelinquishResult::Refused;
        logDecision("claim", found->second.call.request.str(), isGivenUp ? "relinquished" : "kept", "a peer asked for the claim",
                    {{"token", claim.token}, {"state", claimStateName(found->second.machine.state())}});
    }
    // A token without an entry is closed, or its outcome is recorded and the peer's conditional write fails.
    return result;
}

void ClaimStore::observeRevision(std::uint64_t revision)
{
    highestRevision_ = std::max(highestRevision_, revision);
}

bool ClaimStore::noteVersion(std::uint64_t version, std::uint64_t seenBefore)
{
    // A write is later than everything that was seen before it was sent, unless the store went back.
    if (version > seenBefore) {
        observeRevision(version);
        return true;
    }
    highestRevision_ = version;
    const auto now = dependencies_.wallTime();
    noteRestore(now);
    if (dependencies_.onRestoreDetected) {
        dependencies_.onRestoreDetected(now);
    }
    return false;
}

void ClaimStore::noteRestore(WallTime at)
{
    logLine(LogLevel::Error, "the platform was restored from an older copy; older keys are refused", {{"at_ms", at.count()}});
    restoredAt_ = std::max(restoredAt_.value_or(at), at);
}

}
