#pragma once

#include "idempotency/claim_store.h"
#include "serving/traffic_loop.h"

#include <memory>
#include <string>

namespace carawaypoint
{

/// Gives traffic threads access to the claim store, which runs on the executor of the object store.
class ClaimStoreProxy
{
public:
    /// Creates no claim store when object store, peers or executor are missing in @p dependencies.
    ClaimStoreProxy(const FrontEndDependencies &dependencies, const ClaimStoreSettings &settings);
    /// The store is destroyed on its executor.
    ~ClaimStoreProxy();
    ClaimStoreProxy(const ClaimStoreProxy &) = delete;
    ClaimStoreProxy &operator=(const ClaimStoreProxy &) = delete;

    /// These functions forward to the corresponding functions of ClaimStore.
    asio::awaitable<ClaimAcquisition> acquire(TrafficLoop &loop, ClaimCall call);
    asio::awaitable<bool> dispatch(TrafficLoop &loop, std::string token);
    asio::awaitable<bool> close(TrafficLoop &loop, std::string token);
    void recordRefusal(const std::string &token);
    void recordAnswer(const std::string &token, RecordedAnswer answer);
    void recordLostAnswer(const std::string &token);
    asio::awaitable<std::size_t> countOpenClaims(TrafficLoop &loop);

    /// Whether there is a claim store. Thread-safe, like post().
    bool isEnabled() const
    {
        return store_ != nullptr;
    }
    /// Runs @p action with the claim store on its executor; does nothing without a claim store.
    void post(std::function<void(ClaimStore &)> action);

private:
    std::function<void(std::function<void()>)> postToExecutor_; // posts to the executor of the claim store
    std::shared_ptr<ClaimStore> store_;
};

}
