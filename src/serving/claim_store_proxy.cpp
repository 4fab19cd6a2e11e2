#include "serving/claim_store_proxy.h"

#include <random>

namespace carawaypoint
{

namespace
{

WallTime systemTime()
{
    return std::chrono::duration_cast<WallTime>(std::chrono::system_clock::now().time_since_epoch());
}

}

ClaimStoreProxy::ClaimStoreProxy(const FrontEndDependencies &dependencies, const ClaimStoreSettings &settings)
    : postToExecutor_(dependencies.postToClaimExecutor)
{
    if (dependencies.claimObjects == nullptr || dependencies.peerClaims == nullptr || !postToExecutor_) {
        return;
    }
    ClaimStore::Dependencies parts;
    parts.objects = dependencies.claimObjects;
    parts.peers = dependencies.peerClaims;
    parts.clock = dependencies.clock;
    parts.wallTime = dependencies.wallTime ? dependencies.wallTime : systemTime;
    parts.self = {dependencies.self, dependencies.processIncarnation};
    parts.onRestoreDetected = dependencies.onPlatformRestored;
    std::random_device entropy;
    const auto seed = (static_cast<std::uint64_t>(entropy()) << 32U) | entropy();
    store_ = std::make_shared<ClaimStore>(std::move(parts), settings, seed);
}

ClaimStoreProxy::~ClaimStoreProxy()
{
    if (store_) {
        postToExecutor_([store = std::move(store_)] {});
    }
}

void ClaimStoreProxy::post(std::function<void(ClaimStore &)> action)
{
    if (store_) {
        postToExecutor_([store = store_, action = std::move(action)] { action(*store); });
    }
}

asio::awaitable<ClaimAcquisition> ClaimStoreProxy::acquire(TrafficLoop &loop, ClaimCall call)
{
    const auto mailbox = std::make_shared<Mailbox<ClaimAcquisition>>(loop);
    post([mailbox, call = std::move(call)](ClaimStore &store) {
        store.acquire(call, [mailbox](ClaimAcquisition result) { mailbox->deliver(std::move(result)); });
    });
    co_return (co_await mailbox->wait(loop)).value_or(ClaimAcquisition());
}

asio::awaitable<bool> ClaimStoreProxy::dispatch(TrafficLoop &loop, std::string token)
{
    const auto mailbox = std::make_shared<Mailbox<bool>>(loop);
    post([mailbox, token = std::move(token)](ClaimStore &store) { mailbox->deliver(store.dispatch(token)); });
    co_return (co_await mailbox->wait(loop)).value_or(false);
}

asio::awaitable<bool> ClaimStoreProxy::close(TrafficLoop &loop, std::string token)
{
    const auto mailbox = std::make_shared<Mailbox<bool>>(loop);
    post([mailbox, token = std::move(token)](ClaimStore &store) { store.close(token, [mailbox](bool isNotRun) { mailbox->deliver(isNotRun); }); });
    co_return (co_await mailbox->wait(loop)).value_or(false);
}

void ClaimStoreProxy::recordRefusal(const std::string &token)
{
    post([token](ClaimStore &store) { store.recordRefusal(token); });
}

void ClaimStoreProxy::recordAnswer(const std::string &token, RecordedAnswer answer)
{
    post([token, answer = std::move(answer)](ClaimStore &store) { store.recordAnswer(token, answer); });
}

void ClaimStoreProxy::recordLostAnswer(const std::string &token)
{
    post([token](ClaimStore &store) { store.recordLostAnswer(token); });
}

asio::awaitable<std::size_t> ClaimStoreProxy::countOpenClaims(TrafficLoop &loop)
{
    const auto mailbox = std::make_shared<Mailbox<std::size_t>>(loop);
    post([mailbox](ClaimStore &store) { mailbox->deliver(store.openClaims()); });
    co_return (co_await mailbox->wait(loop)).value_or(0);
}

}
