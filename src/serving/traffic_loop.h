#pragma once

#include "core/request_reader.h"
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

/// State shared by all sessions of a front end. Only the atomics change after start().
struct FrontEndContext {
    FrontEndDependencies dependencies;
    FrontEndSettings settings;
    std::atomic<std::uint64_t> requestSequence = 0; // number of the last request, part of attempt ids and request ids
    std::atomic<std::uint64_t> requestsInProgress = 0; // requests received and not yet answered
    std::atomic<bool> isDraining = false; // /readyz answers 503
    std::atomic<bool> refusesRequests = false; // new requests are answered with `draining`

    void count(ServingEvent event, std::uint64_t amount = 1) const
    {
        if (dependencies.metrics != nullptr) {
            dependencies.metrics->count(event, amount);
        }
    }
    void reportSignal(const ServerSignal &signal) const
    {
        if (dependencies.onServerSignal) {
            dependencies.onServerSignal(signal);
        }
    }
};

/// Event loop of one traffic thread and the state that only this thread uses. Its coroutines own the sessions, which refer to it.
struct TrafficLoop : std::enable_shared_from_this<TrafficLoop> {
    explicit TrafficLoop(FrontEndContext &shared)
        : context(shared)
        , requestMemory(shared.settings.maxRequestMemory)
        , pool(io, shared.settings, *shared.dependencies.clock)
    {
    }

    // Destroying io destroys the coroutines in progress, whose sessions use the members declared before it.
    FrontEndContext &context;
    std::uint32_t callerConnections = 0;
    std::uint32_t cancelsInProgress = 0;
    RequestMemory requestMemory;
    asio::io_context io{1};
    ConnectionPool pool;
};

/// Passes one value from any thread to a coroutine of a traffic loop.
template<typename T>
class Mailbox : public std::enable_shared_from_this<Mailbox<T>>
{
public:
    explicit Mailbox(TrafficLoop &loop)
        : loop_(loop.weak_from_this())
    {
    }

    /// Stores the value and wakes the waiting coroutine. Thread-safe; does nothing when the loop was destroyed.
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

    /// Waits for the value; empty when interrupt() was called first. Called on the loop's thread.
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

    /// Ends the wait without a value. Called on the loop's thread.
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
    asio::steady_timer *timer_ = nullptr; // timer of the waiting coroutine; null while none waits
    bool isInterrupted_ = false;
};

}
