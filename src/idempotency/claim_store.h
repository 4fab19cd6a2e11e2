#pragma once

#include "core/random.h"
#include "core/result_code.h"
#include "idempotency/claim_key.h"
#include "idempotency/claim_machine.h"
#include "idempotency/claim_record.h"
#include "idempotency/peer_claims.h"
#include "objects/object_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace carawaypoint
{

struct ClaimStoreSettings {
    ClaimKeyLimits keys;
    std::size_t maxAnswerBytes = 64UL * 1024; // of a recorded body; a larger answer is recorded without its body
    std::size_t maxOpenClaims = 20'000; // claims whose outcome is not recorded yet; further calls are refused
    std::size_t maxQueuedForCleanup = 100'000; // claims
    unsigned maxAttempts = 4; // platform calls of one acquire() before it stops writing; reads may double the number
    Duration recordRetryDelay = milliseconds(250); // first delay before an outcome is written again; doubles up to the maximum
    Duration maxRecordRetryDelay = seconds(10);
    Duration cleanupMargin = hours(1); // added to the retention, as daemons' clocks differ
    double cleanupPerSecond = 20; // deletions
};

/// A non-idempotent call, which must run at most once.
struct ClaimCall {
    ServiceId service;
    std::string key; // idempotency key as sent by the caller
    std::string fingerprint; // of method, target and body
    RequestId request;
};

struct ClaimAcquisition {
    ResultCode code = ResultCode::ClaimUnavailable; // Ok: continue with dispatch(); OkReplayed: answer holds the recorded answer
    RunState state = RunState::NotRun;
    std::string token; // of the claim, when code is Ok
    RecordedAnswer answer;
    std::string reason;
};

/// Claims of non-idempotent calls, stored in the platform's object store.
///
/// Used only on the object store's executor. The protocol is checked by models/claim.pml.
class ClaimStore
{
public:
    struct Dependencies {
        ObjectStore *objects = nullptr;
        PeerClaims *peers = nullptr;
        const Clock *clock = nullptr;
        std::function<WallTime()> wallTime;
        ClaimOwner self;
        std::function<void(WallTime)> onRestoreDetected; // reports a restored platform to peers; may be null
    };
    using BeginHandler = std::function<void(ClaimAcquisition)>;

    /// Kind of the objects that hold claims; their names are `<service>/<key>`.
    static constexpr std::string_view ObjectKind = "claim";

    ClaimStore(Dependencies dependencies, const ClaimStoreSettings &settings, std::uint64_t seed);
    ~ClaimStore();

    /// Acquires the claim of a call, or returns what is known about the call.
    void acquire(const ClaimCall &call, BeginHandler handler);
    /// Called immediately before the first byte is sent. Returns false when the claim was relinquished; the call must not be sent.
    bool dispatch(const std::string &token);
    /// The server refused the call before running it. dispatch() may be called again.
    void recordRefusal(const std::string &token);
    /// Records the server's answer as the outcome, in the background and with retries until it succeeds.
    void recordAnswer(const std::string &token, RecordedAnswer answer);
    /// Records that the outcome is unknown because the server's answer was lost.
    void recordLostAnswer(const std::string &token);
    /// Closes a claim whose call this daemon does not send. @p done receives whether the call was not run and will not be run
    /// under this claim: true when the claim was still held, even if this could not be recorded; false when a peer has the
    /// claim and may run the call.
    void close(const std::string &token, std::function<void(bool isNotRun)> done);

    /// Handles a peer's request for @p claim, which this process may have created.
    RelinquishResult relinquish(const ClaimReference &claim);
    /// Updates the highest known revision of the platform, with revisions from watches and peers.
    void observeRevision(std::uint64_t revision);
    /// Records that the platform was restored from an older backup, as a peer detected at @p at. Older keys are refused.
    void recordRestore(WallTime at);
    /// Retries writes of outcomes and deletes old claims. Called several times a second.
    void tick();
    /// Lists all claims and queues the old ones for deletion. Only this deletes claims of daemons that ended. One list call
    /// returns every claim, so one daemon should call it, and rarely.
    void queueExpiredClaims();

    std::size_t openClaims() const
    {
        return claims_.size();
    }

private:
    struct Claim;
    struct Begin;
    using BeginPtr = std::shared_ptr<Begin>;

    void writeClaim(const BeginPtr &begin, WriteCondition condition);
    void readBackClaim(const BeginPtr &begin);
    void examineObject(const BeginPtr &begin, const StoredObject &object);
    void examineClaimed(const BeginPtr &begin, const ClaimReference &claim, std::uint64_t version);
    void recordUnknownForEndedOwner(const BeginPtr &begin, const ClaimReference &claim, std::uint64_t version);
    void onClaimWritten(const BeginPtr &begin, std::uint64_t version);
    void finishBegin(const BeginPtr &begin, ClaimAcquisition result);
    void refuseCall(const BeginPtr &begin, ResultCode code, RunState state, std::string reason);

    void writeOutcome(const std::string &token);
    void resolveOutcomeConflict(const std::string &token);
    void scheduleRetry(Claim &claim);
    void finishClaim(const std::string &token);
    bool recordVersion(std::uint64_t version, std::uint64_t highestRevisionBefore);
    void deleteExpiredClaims();
    std::string newToken();

    Dependencies dependencies_;
    ClaimStoreSettings settings_;
    RandomGenerator random_;
    std::map<std::string, Claim> claims_; // by token
    std::set<std::pair<WallTime, std::string>> cleanupQueue_; // creation time of the key, and name of the claim's object
    std::uint64_t highestRevision_ = 0;
    std::optional<WallTime> restoredAt_;
    TimePoint lastCleanup_{};
    double allowedCleanups_ = 0;
    std::shared_ptr<bool> isAlive_; // false after the destructor; the object store may call handlers later
};

}
