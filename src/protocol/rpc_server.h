#pragma once

#include "protocol/peer.capnp.h"
#include "protocol/rpc_context.h"

#include <capnp/rpc-twoparty.h>

#include <map>
#include <memory>

namespace carawaypoint::rpc
{

/// Accepts connections of peers and serves their calls. Used on the RPC thread; internal to the package.
class RpcServer : private kj::TaskSet::ErrorHandler
{
public:
    RpcServer(Context &context, kj::Timer &timer);

    void listen(kj::Own<kj::ConnectionReceiver> listener);

private:
    struct Connection;

    kj::Promise<void> acceptLoop();
    kj::Promise<void> closeIdleLoop();
    void add(kj::Own<kj::AsyncIoStream> stream);
    void taskFailed(kj::Exception &&exception) override;

    Context &context_;
    kj::Timer &timer_;
    kj::Own<kj::ConnectionReceiver> listener_;
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections_;
    std::uint64_t nextConnection_ = 0;
    kj::TaskSet tasks_;
};

}
