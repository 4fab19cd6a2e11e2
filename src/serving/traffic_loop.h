#pragma once

#include "serving/connection_pool.h"
#include "serving/http_front_end.h"
#include "serving/serving_metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace carawaypoint
{

/// What all sessions of a front end share. The atomics are the only parts that change.
struct FrontEndContext {
    FrontEndDependencies dependencies;
    FrontEndSettings settings;
    std::atomic<std::uint64_t> sequence = 0; // of requests, for attempt ids and request ids
    std::atomic<std::uint64_t> inProgress = 0;
    std::atomic<bool> isDraining = false; // /readyz answers 503
    std::atomic<bool> refusesRequests = false;

    void count(ServingEvent event, std::uint64_t amount = 1) const
    {
        if (dependencies.metrics != nullptr) {
            dependencies.metrics->count(event, amount);
        }
    }
    void signal(const ServerSignal &signal) const
    {
        if (dependencies.onServerSignal) {
            dependencies.onServerSignal(signal);
        }
    }
};

/// One traffic thread's event loop with what only that thread uses. Sessions refer to it and are owned by its coroutines.
struct TrafficLoop : std::enable_shared_from_this<TrafficLoop> {
    explicit TrafficLoop(FrontEndContext &shared)
        : context(shared)
        , pool(io, shared.settings, *shared.dependencies.clock)
    {
    }

    // Destroying io destroys the coroutines in progress, whose sessions use the members above it.
    FrontEndContext &context;
    std::uint32_t callerConnections = 0;
    std::uint32_t cancelsInProgress = 0;
    asio::io_context io{1};
    ConnectionPool pool;
};

/// Carries one value from any thread to a coroutine of a traffic loop.
template<typename T>
class Mailbox : public std::enable_shared_from_this<Mailbox<T>>
{
public:
    explicit Mailbox(TrafficLoop &loop)
        : loop_(loop.weak_from_this())
    {
    }

    /// Thread-safe. Does nothing when the loop has ended.
    void deliver(T value)
    {
        const auto loop = loop_.lock();
        if (!loop) {
            return;
        }
        asio::post(loop->io, [self = this->shared_from_this(), value = std::move(value)]() mutable {
            self->value_ = std::move(value);
            self->wake();
        });
    }

    /// Waits for the value; empty when interrupt() was called first. On the loop's thread.
    asio::awaitable<std::optional<T>> wait(TrafficLoop &loop)
    {
        const auto self = this->shared_from_this();
        while (!value_ && !isInterrupted_) {
            asio::steady_timer timer(loop.io, asio::steady_timer::time_point::max());
            timer_ = &timer;
            co_await timer.async_wait(UseResult);
            timer_ = nullptr;
        }
        isInterrupted_ = false;
        co_return std::move(value_);
    }

    /// On the loop's thread.
    void interrupt()
    {
        isInterrupted_ = true;
        wake();
    }

private:
    void wake()
    {
        if (timer_ != nullptr) {
            timer_->cancel();
        }
    }

    std::weak_ptr<TrafficLoop> loop_;
    std::optional<T> value_;
    asio::steady_timer *timer_ = nullptr; // of the waiting coroutine
    bool isInterrupted_ = false;
};

}
