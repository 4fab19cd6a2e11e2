#pragma once

#include "protocol/peer.capnp.h"
#include "protocol/rpc_context.h"

#include <capnp/rpc-twoparty.h>

#include <map>
#include <memory>

namespace carawaypoint::rpc
{

/// Makes calls to peers over one connection per peer address. Used on the RPC thread; internal to the package.
class RpcClient : private kj::TaskSet::ErrorHandler
{
public:
    RpcClient(Context &context, kj::Network &network, kj::Timer &timer);

    /// Runs @p startCall with the peer at @p address. A failure or timeout closes the connection, so that an unresponsive one is
    /// not used again, and calls @p onFailure; isMalformed tells whether the peer sent a malformed message.
    void call(const Endpoint &address,
              Duration timeout,
              std::function<kj::Promise<void>(wire::Peer::Client &)> startCall,
              std::function<void(bool isMalformed)> onFailure);

private:
    struct Connection;

    std::shared_ptr<Connection> connectionTo(const Endpoint &address);
    /// Closes the least recently used connection when maxClientConnections is reached.
    void evictIfFull();
    void dropConnection(const Endpoint &address, const Connection *connection);
    void taskFailed(kj::Exception &&exception) override;

    Context &context_;
    kj::Network &network_;
    kj::Timer &timer_;
    std::map<Endpoint, std::shared_ptr<Connection>> connections_;
    kj::TaskSet tasks_;
};

}
