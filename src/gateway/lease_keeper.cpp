#include "gateway/lease_keeper.h"

#include "core/result_code.h"
#include "gateway/fleet_records.h"
#include "objects/store_version.h"
#include "observe/log.h"

#include <utility>

namespace carawaypoint
{

LeaseKeeper::LeaseKeeper(ObjectStore &store, const Clock &clock, std::string kind, ControlLease lease, Settings settings, ResultHook onResult)
    : store_(store)
    , clock_(clock)
    , kind_(std::move(kind))
    , lease_(std::move(lease))
    , settings_(settings)
    , onResult_(std::move(onResult))
    , startedAt_(clock.now())
{
}

void LeaseKeeper::onLeaseRead(const StoredObject *object, std::uint64_t revision)
{
    isKnown_ = true;
    if (object != nullptr) {
        lease_.onObjectRead(decodeLease(object->value), object->version, clock_.now());
    } else {
        lease_.onObjectRead({}, storeVersion(storeEraOf(revision), 0), clock_.now());
    }
}

void LeaseKeeper::onStoreRestored()
{
    lease_.onStoreRestored(clock_.now());
    isReadOutdated_ = isReading_;
    lastReadAt_ = {};
}

void LeaseKeeper::onOrderRefused()
{
    lease_.onOrderRefused();
    isReadOutdated_ = isReading_;
    lastReadAt_ = {};
}

bool LeaseKeeper::isDelayed() const
{
    return storeCounterOf(lease_.version()) == 0 && clock_.now() - startedAt_ < settings_.firstTakeDelay;
}

void LeaseKeeper::update()
{
    if (!isKnown_ || isDelayed()) {
        return;
    }
    if (lease_.mustRead()) {
        read();
    } else if (const auto due = lease_.takeWrite(clock_.now())) {
        write(*due);
    }
}

void LeaseKeeper::read()
{
    if (isReading_ || clock_.now() - lastReadAt_ < (isHeld() ? settings_.holderReadRetryInterval : settings_.readRetryInterval)) {
        return;
    }
    isReading_ = true;
    const auto sentAt = clock_.now();
    lastReadAt_ = sentAt;
    store_.fetch(kind_, ObjectName, [this, sentAt](std::error_code error, const StoredObject &object) {
        isReading_ = false;
        const bool isOutdated = std::exchange(isReadOutdated_, false);
        const bool isAbsent = error == ResultCode::ObjectNotFound;
        if (isAbsent) {
            onLeaseRead(nullptr, object.version);
        } else if (!error) {
            onLeaseRead(&object);
        }
        if (!isOutdated && (isAbsent || !error)) {
            lease_.confirm();
        }
        onResult_(isAbsent ? std::error_code() : error, clock_.now() - sentAt);
    });
}

void LeaseKeeper::write(const ControlLease::Write &write)
{
    const auto condition = storeCounterOf(write.expectedVersion) == 0 ? WriteCondition::ifAbsent() : WriteCondition::ifVersion(write.expectedVersion);
    store_.put(kind_, ObjectName, encodeLease(write.record), condition, [this, sentAt = clock_.now()](std::error_code error, std::uint64_t version) {
        if (error) {
            logLine(LogLevel::Warning, "lease write failed", {{"error", error.message()}});
            lease_.onWriteFailed();
        } else {
            lease_.onWriteSucceeded(version);
        }
        onResult_(error == ResultCode::VersionConflict ? std::error_code() : error, clock_.now() - sentAt);
    });
}

void LeaseKeeper::release(std::function<void()> done)
{
    const auto write = lease_.release(clock_.now());
    if (!write) {
        done();
        return;
    }
    store_.put(kind_, ObjectName, encodeLease(write->record), WriteCondition::ifVersion(write->expectedVersion),
               [this, done = std::move(done)](std::error_code error, std::uint64_t version) {
                   if (error) {
                       logLine(LogLevel::Warning, "cannot release the lease; it lapses after its timeout", {{"error", error.message()}});
                       lease_.onWriteFailed();
                   } else {
                       lease_.onWriteSucceeded(version);
                   }
                   done();
               });
}

}
