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
    , isAlive_(std::make_shared<bool>(true))
{
}

ClaimStore::~ClaimStore()
{
    *isAlive_ = false;
}

std::string ClaimStore::newToken()
{
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(random_()), static_cast<unsigned long long>(random_()));
    return std::string(text.data()) + "-" + std::to_string(dependencies_.self.process);
}

void ClaimStore::acquire(const ClaimCall &call, BeginHandler handler)
{
    const auto begin = std::make_shared<Begin>();
    begin->call = call;
    begin->handler = std::move(handler);
    const auto now = dependencies_.wallTime();
    const auto check = checkClaimKey(call.key, now, settings_.keys);
    if (check.code != ResultCode::Ok) {
        refuseCall(begin, check.code, check.state, "the key is missing, malformed, too old or from the future");
        return;
    }
    // Callers' clocks may be ahead by the tolerance, so a key with a time up to that long after the restore may have been used
    // before it.
    if (restoredAt_ && check.createdAt < *restoredAt_ + settings_.keys.futureTolerance) {
        refuseCall(begin, ResultCode::OutcomeUnknown, RunState::Unknown, "the platform was restored from an older copy after the key was made");
        return;
    }
    if (claims_.size() >= settings_.maxOpenClaims) {
        refuseCall(begin, ResultCode::ClaimUnavailable, RunState::Unknown, "too many outcomes wait to be recorded");
        return;
    }
    begin->name = call.service.str() + "/" + check.key;
    begin->token = newToken();
    Claim claim;
    claim.call = call;
    claim.name = begin->name;
    claim.createdAt = check.createdAt;
    claims_.emplace(begin->token, std::move(claim));
    writeClaim(begin, WriteCondition::ifAbsent());
}

void ClaimStore::writeClaim(const BeginPtr &begin, WriteCondition condition)
{
    if (++begin->attempts > settings_.maxAttempts) {
        refuseCall(begin, ResultCode::ClaimUnavailable, RunState::Unknown, "the platform does not answer");
        return;
    }
    const auto value = serializeClaim(claimedRecord(begin->call, begin->token, dependencies_.self));
    begin->highestRevisionBefore = begin->highestRevisionBefore.value_or(highestRevision_);
    dependencies_.objects->put(ObjectKind, begin->name, value, condition, [this, isAlive = isAlive_, begin](std::error_code error, std::uint64_t version) {
        if (!*isAlive) {
            return;
        }
        if (!error) {
            onClaimWritten(begin, version);
            return;
        }
        // After a conflict this reads the other claim; after a lost response, the token shows whether the write took effect.
        readBackClaim(begin);
    });
}

void ClaimStore::readBackClaim(const BeginPtr &begin)
{
    if (++begin->attempts > settings_.maxAttempts * 2) {
        refuseCall(begin, ResultCode::ClaimUnavailable, RunState::Unknown, "the platform does not answer");
        return;
    }
    dependencies_.objects->fetch(ObjectKind, begin->name, [this, isAlive = isAlive_, begin](std::error_code error, const StoredObject &object) {
        if (!*isAlive) {
            return;
        }
        if (!error) {
            examineObject(begin, object);
        } else if (error == ResultCode::ObjectNotFound) {
            // The lost write may still take effect, so the same token is written again.
            writeClaim(begin, WriteCondition::ifAbsent());
        } else {
            readBackClaim(begin);
        }
    });
}

void ClaimStore::examineObject(const BeginPtr &begin, const StoredObject &object)
{
    const auto record = parseClaim(object.value);
    if (!record) {
        refuseCall(begin, ResultCode::OutcomeUnknown, RunState::Unknown, "the claim's object is malformed");
        return;
    }
    if (record->token == begin->token) {
        onClaimWritten(begin, object.version);
        return;
    }
    observeRevision(object.version);
    if (record->fingerprint != begin->call.fingerprint) {
        refuseCall(begin, ResultCode::KeyReusedForOtherCall, RunState::NotRun, "the key's claim belongs to another call");
        return;
    }
    switch (record->state) {
    case ClaimRecord::State::Completed:
        finishBegin(begin, {ResultCode::OkReplayed, RunState::Completed, {}, record->answer, "the call was completed before"});
        return;
    case ClaimRecord::State::Unknown:
        refuseCall(begin, ResultCode::OutcomeUnknown, RunState::Unknown, "the outcome of the call is not known");
        return;
    case ClaimRecord::State::NotRun:
        writeClaim(begin, WriteCondition::ifVersion(object.version));
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
            writeClaim(begin, WriteCondition::ifVersion(version));
        } else if (found->second.machine.state() == ClaimState::Completed) {
            finishBegin(begin, {ResultCode::OkReplayed, RunState::Completed, {}, found->second.answer, "the call was completed and is being recorded"});
        } else if (found->second.machine.state() == ClaimState::Unknown) {
            refuseCall(begin, ResultCode::OutcomeUnknown, RunState::Unknown, "the outcome of the call is not known");
        } else {
            refuseCall(begin, ResultCode::KeyInUse, RunState::Unknown, "the call is in progress");
        }
        return;
    }
    dependencies_.peers->relinquish(claim, [this, isAlive = isAlive_, begin, claim, version](RelinquishResult result) {
        if (!*isAlive) {
            return;
        }
        switch (result) {
        case RelinquishResult::Relinquished:
            writeClaim(begin, WriteCondition::ifVersion(version));
            return;
        case RelinquishResult::OwnerEnded:
            recordUnknownForEndedOwner(begin, claim, version);
            return;
        case RelinquishResult::Refused:
        case RelinquishResult::Unreachable:
            refuseCall(begin, ResultCode::KeyInUse, RunState::Unknown,
                       result == RelinquishResult::Refused ? "the call is in progress at another entry" : "the entry that holds the claim does not answer");
            return;
        }
    });
}

void ClaimStore::recordUnknownForEndedOwner(const BeginPtr &begin, const ClaimReference &claim, std::uint64_t version)
{
    auto record = claimedRecord(begin->call, claim.token, claim.owner);
    record.state = ClaimRecord::State::Unknown;
    dependencies_.objects->put(ObjectKind, begin->name, serializeClaim(record), WriteCondition::ifVersion(version),
                               [this, isAlive = isAlive_, begin](std::error_code error, std::uint64_t written) {
                                   if (!*isAlive) {
                                       return;
                                   }
                                   if (error == ResultCode::VersionConflict) {
                                       readBackClaim(begin); // the owner recorded its outcome, or another daemon wrote first
                                       return;
                                   }
                                   observeRevision(error ? 0 : written);
                                   refuseCall(begin, ResultCode::OutcomeUnknown, RunState::Unknown, "the entry that held the claim ended without an outcome");
                               });
}

void ClaimStore::onClaimWritten(const BeginPtr &begin, std::uint64_t version)
{
    auto &claim = claims_.at(begin->token);
    claim.version = version;
    const bool isRestored = !recordVersion(version, begin->highestRevisionBefore.value_or(0));
    if (!claim.machine.apply(ClaimEvent::Created)) {
        refuseCall(begin, ResultCode::ClaimUnavailable, RunState::Unknown, "a peer took the claim over");
        return;
    }
    if (isRestored) {
        claim.machine.apply(ClaimEvent::Dispatch); // the restore may have deleted an earlier claim of the key whose call ran
        claim.machine.apply(ClaimEvent::AnswerLost);
        writeOutcome(begin->token);
        begin->token.clear();
        refuseCall(begin, ResultCode::OutcomeUnknown, RunState::Unknown, "the platform was restored from an older copy");
        return;
    }
    finishBegin(begin, {ResultCode::Ok, RunState::NotRun, begin->token, {}, "the claim is held"});
}

void ClaimStore::refuseCall(const BeginPtr &begin, ResultCode code, RunState state, std::string reason)
{
    finishBegin(begin, {code, state, {}, {}, std::move(reason)});
}

void ClaimStore::finishBegin(const BeginPtr &begin, ClaimAcquisition result)
{
    if (result.token.empty()) {
        // Without an entry in claims_ the call is never dispatched under this token, even if the write takes effect later.
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
        // Incarnations of a member only increase, so a higher one belongs to a process that replaced this one.
        const bool isEarlier = claim.owner.member == self.member && claim.owner.process < self.process;
        result = isEarlier ? RelinquishResult::OwnerEnded : RelinquishResult::Unreachable;
    } else if (const auto found = claims_.find(claim.token); found != claims_.end()) {
        const bool isRelinquished = found->second.machine.apply(ClaimEvent::Relinquish) || found->second.machine.state() == ClaimState::Relinquished;
        result = isRelinquished ? RelinquishResult::Relinquished : RelinquishResult::Refused;
        logDecision("claim", found->second.call.request.str(), isRelinquished ? "relinquished" : "kept", "a peer asked for the claim",
                    {{"token", claim.token}, {"state", claimStateName(found->second.machine.state())}});
    }
    // A token without an entry in claims_ is closed, or its outcome is recorded, so that the peer's conditional write fails.
    return result;
}

void ClaimStore::observeRevision(std::uint64_t revision)
{
    highestRevision_ = std::max(highestRevision_, revision);
}

bool ClaimStore::recordVersion(std::uint64_t version, std::uint64_t highestRevisionBefore)
{
    // A write has a higher version than all revisions known before it was sent, unless the store was restored from a backup.
    if (version > highestRevisionBefore) {
        observeRevision(version);
        return true;
    }
    highestRevision_ = version;
    const auto now = dependencies_.wallTime();
    recordRestore(now);
    if (dependencies_.onRestoreDetected) {
        dependencies_.onRestoreDetected(now);
    }
    return false;
}

void ClaimStore::recordRestore(WallTime at)
{
    logLine(LogLevel::Error, "the platform was restored from an older copy; older keys are refused", {{"at_ms", at.count()}});
    restoredAt_ = std::max(restoredAt_.value_or(at), at);
}

}
