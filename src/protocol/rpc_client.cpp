#include "protocol/rpc_client.h"

#include "protocol/wire_conversion.h"

#include <algorithm>
#include <optional>

namespace carawaypoint::rpc
{

/// A connection that is being established or in use. Calls share it, so that after removal from the map it is closed with its last call.
struct RpcClient::Connection {
    /// RPC state of an established connection. Each member depends on those declared before it.
    struct ConnectedState {
        ConnectedState(kj::Own<kj::AsyncIoStream> connected, Context &context)
            : stream(kj::mv(connected))
            , messages(*stream, context.counters)
            , network(messages, capnp::rpc::twoparty::Side::CLIENT, readerOptions(context))
            , rpc(capnp::makeRpcClient(network))
        {
        }

        static capnp::ReaderOptions readerOptions(const Context &context)
        {
            capnp::ReaderOptions options;
            options.traversalLimitInWords = context.options.maxMessageBytes / sizeof(capnp::word);
            return options;
        }

        wire::Peer::Client peer()
        {
            capnp::word scratch[4] = {};
            capnp::MallocMessageBuilder message(scratch);
            auto vat = message.getRoot<capnp::rpc::twoparty::VatId>();
            vat.setSide(capnp::rpc::twoparty::Side::SERVER);
            return rpc.bootstrap(vat).castAs<wire::Peer>();
        }

        kj::Own<kj::AsyncIoStream> stream;
        CountingStream messages;
        capnp::TwoPartyVatNetwork network;
        capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    };

    std::optional<ConnectedState> link;
    kj::Maybe<wire::Peer::Client> peer;
    kj::ForkedPromise<void> ready = nullptr;
    kj::TimePoint lastUsed = kj::origin<kj::TimePoint>();
};

RpcClient::RpcClient(Context &context, kj::Network &network, kj::Timer &timer)
    : context_(context)
    , network_(network)
    , timer_(timer)
    , tasks_(*this)
{
}

std::shared_ptr<RpcClient::Connection> RpcClient::connectionTo(const Endpoint &address)
{
    const auto found = connections_.find(address);
    if (found != connections_.end()) {
        return found->second;
    }
    evictIfFull();
    auto connection = std::make_shared<Connection>();
    // A plain pointer: the promise is a member of the connection and must not own it.
    auto *weak = connection.get();
    auto connecting = network_.parseAddress(address.toString()).then([](kj::Own<kj::NetworkAddress> &&peer) {
        auto promise = peer->connect();
        return promise.attach(kj::mv(peer));
    });
    connection->ready = timer_.timeoutAfter(toKj(context_.options.connectTimeout), kj::mv(connecting))
                            .then([this, weak](kj::Own<kj::AsyncIoStream> &&stream) {
                                weak->link.emplace(kj::mv(stream), context_);
                                weak->peer = weak->link->peer();
                            })
                            .fork();
    connections_.emplace(address, connection);
    return connection;
}

void RpcClient::evictIfFull()
{
    if (connections_.size() < context_.options.maxClientConnections) {
        return;
    }
    const auto oldest =
        std::min_element(connections_.begin(), connections_.end(), [](const auto &a, const auto &b) { return a.second->lastUsed < b.second->lastUsed; });
    dropConnection(oldest->first, oldest->second.get());
}

void RpcClient::dropConnection(const Endpoint &address, const Connection *connection)
{
    const auto found = connections_.find(address);
    if (found == connections_.end() || found->second.get() != connection) {
        return;
    }
    // This function may run in a callback of the connection, so the connection is destroyed later, from the event loop.
    tasks_.add(kj::evalLater([dropped = std::move(found->second)] {}));
    connections_.erase(found);
}

void RpcClient::call(const Endpoint &address,
                     Duration timeout,
                     std::function<kj::Promise<void>(wire::Peer::Client &)> startCall,
                     std::function<void(bool isMalformed)> onFailure)
{
    auto connection = connectionTo(address);
    connection->lastUsed = timer_.now();
    auto run = connection->ready.addBranch().then([connection, startCall = std::move(startCall)] {
        KJ_IF_MAYBE (peer, connection->peer) {
            return startCall(*peer);
        }
        return kj::Promise<void>(KJ_EXCEPTION(DISCONNECTED, "not connected"));
    });
    tasks_.add(timer_.timeoutAfter(toKj(timeout), kj::mv(run)).catch_([this, address, connection, onFailure = std::move(onFailure)](kj::Exception &&) {
        ++context_.counters.failedCalls;
        const bool isMalformed = connection->link && connection->link->messages.hasSeenMalformed();
        dropConnection(address, connection.get());
        onFailure(isMalformed);
    }));
}

void RpcClient::taskFailed(kj::Exception &&)
{
    // Failures of calls are reported by onFailure.
}

}
