#pragma once

#include "idempotency/claim_store.h"
#include "serving/traffic_loop.h"

#include <memory>
#include <string>

namespace carawaypoint
{

/// Lets traffic threads use the claim store, which lives on the object store's executor.
class ClaimPort
{
public:
    /// Uses no claims when the dependencies have no object store.
    ClaimPort(const FrontEndDependencies &dependencies, const ClaimStoreSettings &settings);
    /// The store is destroyed on its executor.
    ~ClaimPort();
    ClaimPort(const ClaimPort &) = delete;
    ClaimPort &operator=(const ClaimPort &) = delete;

    asio::awaitable<ClaimBegin> begin(TrafficLoop &loop, ClaimCall call);
    asio::awaitable<bool> dispatch(TrafficLoop &loop, std::string token);
    asio::awaitable<bool> close(TrafficLoop &loop, std::string token);
    void refuse(const std::string &token);
    void complete(const std::string &token, RecordedAnswer answer);
    void loseAnswer(const std::string &token);
    asio::awaitable<std::size_t> countOpen(TrafficLoop &loop);

    /// Thread-safe, like post().
    bool isUsed() const
    {
        return store_ != nullptr;
    }
    /// Runs @p action with the store on its executor.
    void post(std::function<void(ClaimStore &)> action);

private:
    std::function<void(std::function<void()>)> executor_;
    std::shared_ptr<ClaimStore> store_;
};

}
