#pragma once

#include "core/http_client.h"
#include "engine/engine_client.h"

#include <memory>

namespace carawaypoint
{

/// EngineClient over HTTP, as specified in docs/interfaces.md. The executor must run handlers one at a time.
class HttpEngineClient : public EngineClient
{
public:
    class Builder
    {
    public:
        Builder(boost::asio::any_io_executor executor, const Clock &clock)
            : executor_(std::move(executor))
            , clock_(&clock)
        {
        }
        /// Time limit of a call. The maximum order lifetime of the assignment must be longer.
        Builder &timeout(Duration timeout)
        {
            timeout_ = timeout;
            return *this;
        }
        std::unique_ptr<HttpEngineClient> build() const;

    private:
        boost::asio::any_io_executor executor_;
        const Clock *clock_;
        Duration timeout_{seconds(1)};
    };

    void sendOrder(const Endpoint &engine, const EngineOrder &order, OrderHandler handler) override;
    void fetchState(const Endpoint &engine, StateHandler handler) override;
    void fetchCacheEvents(const Endpoint &engine, std::uint64_t afterSequence, CacheHandler handler) override;
    /// Orders the engine to refuse new requests, or to accept them again.
    void setDraining(const Endpoint &engine, bool isDraining, OrderHandler handler);

private:
    HttpEngineClient(std::unique_ptr<HttpClient> client, const Clock &clock, Duration timeout);

    std::unique_ptr<HttpClient> client_;
    const Clock *clock_;
    Duration timeout_;
};

}
