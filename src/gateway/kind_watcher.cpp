#include "gateway/kind_watcher.h"

#include "objects/store_version.h"
#include "observe/log.h"

#include <algorithm>
#include <utility>

namespace carawaypoint
{

namespace
{

constexpr unsigned MaxDoublings = 6;
/// Watch duration for changes that are in the store already, such as those that fill a gap.
constexpr Duration ConfirmingWait = milliseconds(1);

}

KindWatcher::KindWatcher(const boost::asio::any_io_executor &executor, ObjectStore &store, Settings settings, Hooks hooks)
    : store_(store)
    , settings_(std::move(settings))
    , hooks_(std::move(hooks))
    , timer_(executor)
{
}

void KindWatcher::start()
{
    startNextCall();
}

void KindWatcher::startSuspended()
{
    isSuspended_ = true;
    mayListStale_ = true;
    startNextCall();
}

void KindWatcher::startFollowing()
{
    isSuspended_ = true;
    mayListStale_ = true;
    mustList_ = false;
}

void KindWatcher::adoptList(std::uint64_t revision)
{
    mustList_ = false;
    isListing_ = false;
    isCatchingUp_ = false;
    ++listCount_;
    ++generation_;
    timer_.cancel();
    revision_ = std::max(revision_, revision);
}

void KindWatcher::stop()
{
    isStopped_ = true;
    timer_.cancel();
}

void KindWatcher::relist()
{
    mustList_ = true;
    ++generation_;
    timer_.cancel();
    startNextCall();
}

bool KindWatcher::suspend()
{
    if (isListDue()) {
        return false;
    }
    isSuspended_ = true;
    ++generation_;
    timer_.cancel();
    return true;
}

void KindWatcher::resume()
{
    isSuspended_ = false;
    isCatchingUp_ = false;
    isConfirming_ = true;
    mustList_ = std::exchange(isListing_, false) || mustList_ || listCount_ == 0;
    ++generation_;
    timer_.cancel();
    startNextCall();
}

void KindWatcher::confirm()
{
    // A list in flight is left alone: it may be long, and its calls time out soon.
    const bool isDelayed = failures_ > 0 && !isListing_;
    if (watchGeneration_ != generation_ && !isDelayed) {
        return;
    }
    isConfirming_ = true;
    ++generation_;
    timer_.cancel();
    startNextCall();
}

void KindWatcher::catchUp()
{
    if (isSuspended_ && !isListing_ && !std::exchange(isCatchingUp_, true)) {
        startNextCall();
    }
}

void KindWatcher::advance(std::uint64_t revision)
{
    revision_ = std::max(revision_, revision);
    // The answer to a call in flight may be older than the learnt revision, so it is ignored.
    if (std::exchange(isCatchingUp_, false)) {
        ++generation_;
    }
}

void KindWatcher::startNextCall()
{
    if (isStopped_) {
        return;
    }
    if (mustList_) {
        list();
    } else if (!isSuspended_ || isCatchingUp_) {
        watch();
    }
}

void KindWatcher::list()
{
    mustList_ = false;
    isListing_ = true;
    const bool isStale = std::exchange(mayListStale_, false);
    auto handler = [self = shared_from_this(), generation = generation_, isStale](std::error_code error, ListResult result) {
        if (generation != self->generation_) {
            return;
        }
        self->isListing_ = false;
        self->isCatchingUp_ = false;
        if (error) {
            self->mustList_ = true;
            self->onCallFailed(error);
            return;
        }
        self->failures_ = 0;
        logLine(LogLevel::Info, "objects listed",
                {{"kind", self->settings_.kind},
                 {"objects", static_cast<std::uint64_t>(result.objects.size())},
                 {"era", storeEraOf(result.revision)},
                 {"revision", storeCounterOf(result.revision)},
                 {"known_era", storeEraOf(self->revision_)},
                 {"known_revision", storeCounterOf(self->revision_)}});
        self->revision_ = result.revision;
        self->isListStale_ = isStale;
        ++self->listCount_;
        self->hooks_.onList(std::move(result.objects));
        // A hook may have started a new chain of calls.
        if (generation == self->generation_) {
            self->startNextCall();
        }
    };
    sentAt_ = clock_.now();
    if (isStale) {
        store_.listStale(settings_.kind, std::move(handler));
    } else {
        store_.list(settings_.kind, std::move(handler));
    }
}

void KindWatcher::watch()
{
    const bool isConfirming = std::exchange(isConfirming_, false);
    watchGeneration_ = generation_;
    sentAt_ = clock_.now();
    store_.watch(settings_.kind, revision_, isSuspended_ || isConfirming ? ConfirmingWait : settings_.wait,
                 [self = shared_from_this(), generation = generation_](std::error_code error, const WatchResult &result) {
                     if (generation != self->generation_) {
                         return;
                     }
                     self->watchGeneration_.reset();
                     if (error) {
                         self->onCallFailed(error);
                         return;
                     }
                     self->isCatchingUp_ = false;
                     self->failures_ = 0;
                     self->mustList_ = self->mustList_ || result.isListRequired;
                     if (result.isListRequired) {
                         self->startNextCall();
                         return;
                     }
                     self->revision_ = result.revision;
                     self->hooks_.onEvents(result.events);
                     if (generation != self->generation_) {
                         return;
                     }
                     if (result.events.empty()) {
                         self->startNextCall();
                     } else {
                         self->scheduleNextCall(self->settings_.pause);
                     }
                 });
}

/// The next call does not wait for a change, so that it is answered or fails soon: a call that waits while the store returns may hang for
/// seconds after that.
void KindWatcher::onCallFailed(std::error_code error)
{
    hooks_.onFailure(error, clock_.now() - sentAt_);
    isConfirming_ = true;
    scheduleNextCall(std::min(settings_.maxRetryDelay, settings_.retryDelay * (1U << std::min(failures_, MaxDoublings))));
    ++failures_;
}

void KindWatcher::scheduleNextCall(Duration delay)
{
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this(), generation = generation_](const boost::system::error_code &error) {
        if (!error && generation == self->generation_) {
            self->startNextCall();
        }
    });
}

}
