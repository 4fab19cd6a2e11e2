// Recording of outcomes and cleanup; the other half of ClaimStore.
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

void ClaimStore::refuse(const std::string &token)
{
    if (const auto found = claims_.find(token); found != claims_.end()) {
        found->second.machine.apply(ClaimEvent::Refused);
    }
}

void ClaimStore::complete(const std::string &token, RecordedAnswer answer)
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
    record(token);
}

void ClaimStore::loseAnswer(const std::string &token)
{
    if (const auto found = claims_.find(token); found != claims_.end() && found->second.machine.apply(ClaimEvent::AnswerLost)) {
        record(token);
    }
}

void ClaimStore::close(const std::string &token, std::function<void(bool isNotRun)> done)
{
    const auto found = claims_.find(token);
    if (found == claims_.end() || !found->second.machine.apply(ClaimEvent::Close)) {
        // Relinquished: the peer's write replaces the claim.
        if (found != claims_.end() && found->second.machine.state() == ClaimState::Relinquished) {
            claims_.erase(found);
        }
        done(false);
        return;
    }
    found->second.done = [done = std::move(done)] {
        done(true);
    };
    record(token);
}

void ClaimStore::record(const std::string &token)
{
    auto &claim = claims_.at(token);
    ClaimRecord record;
    record.state = recordState(claim.machine.state());
    record.token = token;
    record.owner = dependencies_.self;
    record.fingerprint = claim.call.fingerprint;
    record.answer = claim.answer;
    claim.isWriting = true;
    const auto condition = claim.isAbsent ? WriteCondition::ifAbsent() : WriteCondition::ifVersion(claim.version);
    dependencies_.objects->put(ObjectKind, claim.name, serializeClaim(record), condition,
                               [this, alive = alive_, token, seenBefore = highestRevision_](std::error_code error, std::uint64_t version) {
                                   if (!*alive) {
                                       return;
                                   }
                                   if (!error) {
                                       noteVersion(version, seenBefore);
                                       forget(token);
                                   } else if (error == ResultCode::VersionConflict) {
                                       checkRecord(token);
                                   } else {
                                       // The next try finds a conflict when this one took effect.
                                       retryLater(claims_.at(token));
                                   }
                               });
}

void ClaimStore::checkRecord(const std::string &token)
{
    dependencies_.objects->fetch(ObjectKind, claims_.at(token).name, [this, alive = alive_, token](std::error_code error, const StoredObject &object) {
        if (!*alive) {
            return;
        }
        auto &claim = claims_.at(token);
        if (error == ResultCode::ObjectNotFound) {
            claim.isAbsent = true;
            retryLater(claim);
            return;
        }
        if (error) {
            retryLater(claim);
            return;
        }
        const auto stored = parseClaim(object.value);
        const bool isOwn = stored && stored->token == token;
        // A peer that took this process for ended may have written `unknown`; the real outcome replaces it.
        if (isOwn && stored->state != recordState(claim.machine.state())) {
            claim.isAbsent = false;
            claim.version = object.version;
            retryLater(claim);
            return;
        }
        if (!isOwn) {
            logLine(LogLevel::Error, "the claim was replaced before its outcome was recorded", {{"claim", claim.name}, {"token", token}});
        }
        forget(token);
    });
}

void ClaimStore::retryLater(Claim &claim)
{
    claim.isWriting = false;
    claim.retryDelay = std::clamp(claim.retryDelay * 2, settings_.recordRetryDelay, settings_.maxRecordRetryDelay);
    claim.retryAt = dependencies_.clock->now() + claim.retryDelay;
    if (claim.machine.state() == ClaimState::NotRun) {
        // Without an entry the token is never dispatched, and a peer that asks is told so; the write is not needed for that.
        const auto done = std::exchange(claim.done, nullptr);
        std::erase_if(claims_, [&claim](const auto &entry) { return &entry.second == &claim; });
        if (done) {
            done();
        }
    }
}

void ClaimStore::forget(const std::string &token)
{
    auto claim = claims_.extract(token);
    if (expiring_.size() < settings_.maxKeptForCleanup) {
        expiring_.emplace(claim.mapped().createdAt, claim.mapped().name);
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
        record(token);
    }
    cleanUp();
}

void ClaimStore::cleanUp()
{
    const auto now = dependencies_.clock->now();
    const auto elapsed = std::chrono::duration<double>(now - lastCleanup_).count();
    lastCleanup_ = now;
    cleanupAllowance_ = std::min(cleanupAllowance_ + elapsed * settings_.cleanupPerSecond, std::max(1.0, settings_.cleanupPerSecond));
    const auto limit = dependencies_.wallTime() - std::chrono::duration_cast<WallTime>(settings_.keys.retention + settings_.cleanupMargin);
    while (cleanupAllowance_ >= 1 && !expiring_.empty() && expiring_.begin()->first < limit) {
        cleanupAllowance_ -= 1;
        const auto oldest = expiring_.extract(expiring_.begin()).value();
        dependencies_.objects->remove(ObjectKind, oldest.second, WriteCondition::always(), [this, alive = alive_, oldest](std::error_code error) {
            if (*alive && error && error != ResultCode::ObjectNotFound && expiring_.size() < settings_.maxKeptForCleanup) {
                expiring_.insert(oldest);
            }
        });
    }
}

void ClaimStore::sweep()
{
    dependencies_.objects->list(ObjectKind, [this, alive = alive_](std::error_code error, const ListResult &result) {
        if (!*alive || error) {
            return;
        }
        observeRevision(result.revision);
        for (const auto &object : result.objects) {
            const auto key = std::string_view(object.name).substr(object.name.rfind('/') + 1);
            const auto check = checkClaimKey(key, dependencies_.wallTime(), settings_.keys);
            if (check.code == ResultCode::KeyExpired && expiring_.size() < settings_.maxKeptForCleanup) {
                expiring_.emplace(check.createdAt, object.name);
            }
        }
    });
}

}
