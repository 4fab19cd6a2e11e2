#pragma once

#include "core/clock.h"
#include "objects/object_store.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace carawaypoint
{

/// Follows all objects of one kind: lists them once, then watches for changes. Lists again when the store no longer has the history.
///
/// While suspended, the changes are learnt from notices of other gateways, and the store is called only to fill a gap.
class KindWatcher : public std::enable_shared_from_this<KindWatcher>
{
public:
    struct Hooks {
        std::function<void(std::vector<StoredObject>)> onList; // called with the complete list
        std::function<void(std::span<const ObjectEvent>)> onEvents;
        /// Called for each failed call with the time since it was sent; the next onList or onEvents ends the failure.
        std::function<void(std::error_code, Duration callTime)> onFailure;
    };
    struct Settings {
        std::string kind;
        Duration wait{milliseconds(2500)}; // maximum duration of a watch call; limits the time until a dead connection is detected
        Duration retryDelay{milliseconds(150)}; // after the first failed call; doubled for each further one
        Duration maxRetryDelay{milliseconds(600)}; // maximum delay after a failed call
        Duration pause{}; // after a change before the next watch call, so that changes in quick succession need one call
    };

    KindWatcher(const boost::asio::any_io_executor &executor, ObjectStore &store, Settings settings, Hooks hooks);

    void start();
    /// Lists from a read that may be some seconds old, and does not watch until resume().
    void startSuspended();
    /// Same without the list, which other gateways send: see adoptList(). relist() fetches it from the store instead.
    void startFollowing();
    void stop();
    /// Lists again immediately; the answer to a call in flight is ignored.
    void relist();
    /// Stops watching. Returns false, without effect, while a list is due or in progress.
    bool suspend();
    /// Watches again, from the known revision. The first call does not wait for a change, so that its answer confirms what is known.
    void resume();
    /// The store answers again after a failure: a watch call in flight, which may have been lost meanwhile, and the delay after a failed call
    /// are replaced by a call that does not wait for a change.
    void confirm();
    /// While suspended: fetches the changes since the known revision from the store once.
    void catchUp();
    /// While suspended: the changes up to @p revision are known from elsewhere.
    void advance(std::uint64_t revision);
    /// While suspended: the complete list at @p revision is known from elsewhere.
    void adoptList(std::uint64_t revision);
    bool isSuspended() const
    {
        return isSuspended_;
    }
    /// Whether a list is due or in progress.
    bool isListDue() const
    {
        return mustList_ || isListing_;
    }
    /// Whether the last list may have been some seconds old when it was read.
    bool isListStale() const
    {
        return isListStale_;
    }
    /// Store revision up to which all changes are known.
    std::uint64_t revision() const
    {
        return revision_;
    }
    /// Sets the pause after a change; takes effect with the next change.
    void setPause(Duration pause)
    {
        settings_.pause = pause;
    }
    void setWait(Duration wait)
    {
        settings_.wait = wait;
    }
    /// Sets the delay after the first failed call and the maximum delay.
    void setRetryDelays(Duration first, Duration max)
    {
        settings_.retryDelay = first;
        settings_.maxRetryDelay = max;
    }
    /// Number of lists that were applied.
    std::uint64_t listCount() const
    {
        return listCount_;
    }

private:
    void startNextCall();
    void list();
    void watch();
    void onCallFailed(std::error_code error);
    void scheduleNextCall(Duration delay);

    ObjectStore &store_;
    Settings settings_;
    Hooks hooks_;
    boost::asio::steady_timer timer_;
    SteadyClock clock_;
    TimePoint sentAt_{}; // the latest call
    std::uint64_t revision_ = 0;
    std::uint64_t listCount_ = 0;
    bool mustList_ = true;
    bool isListing_ = false;
    bool isSuspended_ = false;
    bool isCatchingUp_ = false;
    bool isStopped_ = false;
    bool mayListStale_ = false;
    bool isListStale_ = false;
    bool isConfirming_ = false; // the next watch call does not wait
    unsigned failures_ = 0;
    std::optional<std::uint64_t> watchGeneration_; // of the watch call in flight
    std::uint64_t generation_ = 0; // of the current chain of calls; answers to calls of earlier chains are ignored
};

}
