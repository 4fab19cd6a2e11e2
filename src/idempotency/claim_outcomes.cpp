// ClaimStore: recording of outcomes and cleanup. Acquiring claims is in claim_store.cpp.
#include "idempotency/claim_store.h"
#include "idempotency/claim_store_state.h"
#include "observe/log.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace carawaypoint
{

namespace
{

ClaimRecord::State recordState(ClaimState state)
{
    switch (state) {
    case ClaimState::Completed:
        return ClaimRecord::State::Completed;
    case ClaimState::NotRun:
        return ClaimRecord::State::NotRun;
    default:
        return ClaimRecord::State::Unknown;
    }
}

/// JSON text holds only UTF-8.
bool isUtf8(const std::string &text)
{
    boost::system::error_code error;
    boost::json::parse(boost::json::serialize(boost::json::string(text)), error);
    return !error;
}

}

bool ClaimStore::dispatch(const std::string &token)
{
    const auto found = claims_.find(token);
    if (found == claims_.end()) {
        return false;
    }
    const bool isAllowed = found->second.machine.apply(ClaimEvent::Dispatch);
    logDecision("claim", found->second.call.request.str(), isAllowed ? "dispatch" : "no_dispatch", claimStateName(found->second.machine.state()),
                {{"claim", found->second.name}, {"token", token}});
    return isAllowed;
}

void ClaimStore::recordRefusal(const std::string &token)
{
    if (const auto found = claims_.find(token); found != claims_.end()) {
        found->second.machine.apply(ClaimEvent::Refused);
    }
}

void ClaimStore::recordAnswer(const std::string &token, RecordedAnswer answer)
{
    const auto found = claims_.find(token);
    if (found == claims_.end() || !found->second.machine.apply(ClaimEvent::Answered)) {
        return;
    }
    if (answer.body.size() > settings_.maxAnswerBytes || !isUtf8(answer.body)) {
        answer.body.clear();
        answer.isBodyOmitted = true;
    }
    found->second.answer = std::move(answer);
    writeOutcome(token);
}

void ClaimStore::recordLostAnswer(const std::string &token)
{
    if (const auto found = claims_.find(token); found != claims_.end() && found->second.machine.apply(ClaimEvent::AnswerLost)) {
        writeOutcome(token);
    }
}

void ClaimStore::close(const std::string &token, std::function<void(bool isNotRun)> done)
{
    const auto found = claims_.find(token);
    if (found == claims_.end() || !found->second.machine.apply(ClaimEvent::Close)) {
        // A relinquished claim is replaced by the peer's write.
        if (found != claims_.end() && found->second.machine.state() == ClaimState::Relinquished) {
            claims_.erase(found);
        }
        done(false);
        return;
    }
    found->second.done = [done = std::move(done)] {
        done(true);
    };
    writeOutcome(token);
}

void ClaimStore::writeOutcome(const std::string &token)
{
    auto &claim = claims_.at(token);
    ClaimRecord record;
    record.state = recordState(claim.machine.state());
    record.token = token;
    record.owner = dependencies_.self;
    record.fingerprint = claim.call.fingerprint;
    record.answer = claim.answer;
    claim.isWriting = true;
    const auto condition = claim.isObjectMissing ? WriteCondition::ifAbsent() : WriteCondition::ifVersion(claim.version);
    dependencies_.objects->put(ObjectKind, claim.name, serializeClaim(record), condition,
                               [this, isAlive = isAlive_, token, highestRevisionBefore = highestRevision_](std::error_code error, std::uint64_t version) {
                                   if (!*isAlive) {
                                       return;
                                   }
                                   if (!error) {
                                       recordVersion(version, highestRevisionBefore);
                                       finishClaim(token);
                                   } else if (error == ResultCode::VersionConflict) {
                                       resolveOutcomeConflict(token);
                                   } else {
                                       // If this write took effect, the next one gets a version conflict.
                                       scheduleRetry(claims_.at(token));
                                   }
                               });
}

void ClaimStore::resolveOutcomeConflict(const std::string &token)
{
    dependencies_.objects->fetch(ObjectKind, claims_.at(token).name, [this, isAlive = isAlive_, token](std::error_code error, const StoredObject &object) {
        if (!*isAlive) {
            return;
        }
        auto &claim = claims_.at(token);
        if (error == ResultCode::ObjectNotFound) {
            claim.isObjectMissing = true;
            scheduleRetry(claim);
            return;
        }
        if (error) {
            scheduleRetry(claim);
            return;
        }
        const auto stored = parseClaim(object.value);
        const bool isOwn = stored && stored->token == token;
        // A peer that considered this process ended may have written `unknown`; the actual outcome replaces it.
        if (isOwn && stored->state != recordState(claim.machine.state())) {
            claim.isObjectMissing = false;
            claim.version = object.version;
            scheduleRetry(claim);
            return;
        }
        if (!isOwn) {
            logLine(LogLevel::Error, "the claim was replaced before its outcome was recorded", {{"claim", claim.name}, {"token", token}});
        }
        finishClaim(token);
    });
}

void ClaimStore::scheduleRetry(Claim &claim)
{
    claim.isWriting = false;
    claim.retryDelay = std::clamp(claim.retryDelay * 2, settings_.recordRetryDelay, settings_.maxRecordRetryDelay);
    claim.retryAt = dependencies_.clock->now() + claim.retryDelay;
    if (claim.machine.state() == ClaimState::NotRun) {
        // Without an entry in claims_ the call is never dispatched under this token, and a peer that requests the claim gets it.
        // The record is not needed for that.
        const auto done = std::exchange(claim.done, nullptr);
        std::erase_if(claims_, [&claim](const auto &entry) { return &entry.second == &claim; });
        if (done) {
            done();
        }
    }
}

void ClaimStore::finishClaim(const std::string &token)
{
    auto claim = claims_.extract(token);
    if (cleanupQueue_.size() < settings_.maxQueuedForCleanup) {
        cleanupQueue_.emplace(claim.mapped().createdAt, claim.mapped().name);
    }
    if (claim.mapped().done) {
        claim.mapped().done();
    }
}

void ClaimStore::tick()
{
    const auto now = dependencies_.clock->now();
    std::vector<std::string> due;
    for (const auto &[token, claim] : claims_) {
        const bool hasOutcome = claim.machine.state() == ClaimState::Completed || claim.machine.state() == ClaimState::Unknown;
        if (hasOutcome && !claim.isWriting && claim.retryAt <= now) {
            due.push_back(token);
        }
    }
    for (const auto &token : due) {
        writeOutcome(token);
    }
    deleteExpiredClaims();
}

void ClaimStore::deleteExpiredClaims()
{
    const auto now = dependencies_.clock->now();
    const auto elapsed = std::chrono::duration<double>(now - lastCleanup_).count();
    lastCleanup_ = now;
    allowedCleanups_ = std::min(allowedCleanups_ + elapsed * settings_.cleanupPerSecond, std::max(1.0, settings_.cleanupPerSecond));
    const auto limit = dependencies_.wallTime() - std::chrono::duration_cast<WallTime>(settings_.keys.retention + settings_.cleanupMargin);
    while (allowedCleanups_ >= 1 && !cleanupQueue_.empty() && cleanupQueue_.begin()->first < limit) {
        allowedCleanups_ -= 1;
        const auto oldest = cleanupQueue_.extract(cleanupQueue_.begin()).value();
        dependencies_.objects->remove(ObjectKind, oldest.second, WriteCondition::always(), [this, isAlive = isAlive_, oldest](std::error_code error) {
            if (*isAlive && error && error != ResultCode::ObjectNotFound && cleanupQueue_.size() < settings_.maxQueuedForCleanup) {
                cleanupQueue_.insert(oldest);
            }
        });
    }
}

void ClaimStore::queueExpiredClaims()
{
    dependencies_.objects->list(ObjectKind, [this, isAlive = isAlive_](std::error_code error, const ListResult &result) {
        if (!*isAlive || error) {
            return;
        }
        observeRevision(result.revision);
        for (const auto &object : result.objects) {
            const auto key = std::string_view(object.name).substr(object.name.rfind('/') + 1);
            const auto check = checkClaimKey(key, dependencies_.wallTime(), settings_.keys);
            if (check.code == ResultCode::KeyExpired && cleanupQueue_.size() < settings_.maxQueuedForCleanup) {
                cleanupQueue_.emplace(check.createdAt, object.name);
            }
        }
    });
}

}
