#include "gateway/gateway_server.h"

#include "observe/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <exception>

namespace carawaypoint
{

namespace
{

/// Share of the descriptors for callers; the rest is for backend servers, the store, files and pipes.
constexpr double CallerShare = 0.7;
constexpr int Backlog = 1024;
/// Share of the process's memory for connections of callers.
constexpr double SessionMemoryShare = 0.2;
/// Memory of a connection: its own without the bytes of a request and its response, and what the kernel keeps of a caller that sends on unread.
constexpr std::size_t SessionBytes = std::size_t{64} * 1024;
/// Receive buffer of a connection, in bytes. The kernel would let it grow to megabytes, which count as memory of the VM while they are not read.
constexpr int ReceiveBufferBytes = 32 * 1024;
/// Time between two looks whether a session that has to leave has ended, and number of looks.
constexpr Duration RoomPollInterval = milliseconds(1);
constexpr unsigned MaxRoomPolls = 20;
/// Delay after a failed accept, for example when no descriptors are free.
constexpr Duration AcceptRetryDelay = milliseconds(50);

}

GatewayServer::GatewayServer(GatewayContext &context)
    : context_(context)
    , acceptor_(context.io)
    , maxSessions_(std::min(static_cast<std::size_t>(context.settings.maxDescriptors * CallerShare), context.memoryShare(SessionMemoryShare) / SessionBytes))
{
}

std::error_code GatewayServer::listen(const Endpoint &endpoint)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        return error;
    }
    acceptor_.open(asio::ip::tcp::v4(), error);
    if (!error) {
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
        // Connections inherit the receive buffer of the listening socket.
        acceptor_.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes), error);
        acceptor_.bind({address, endpoint.port}, error);
    }
    if (!error) {
        acceptor_.listen(Backlog, error);
    }
    if (!error) {
        asio::co_spawn(context_.io, acceptAll(), asio::detached);
    }
    return error;
}

Endpoint GatewayServer::localEndpoint() const
{
    const auto endpoint = acceptor_.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

asio::awaitable<void> GatewayServer::acceptAll()
{
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(UseResult);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            break;
        }
        if (error) {
            closeOldestIdle();
            asio::steady_timer pause(context_.io, AcceptRetryDelay);
            co_await pause.async_wait(UseResult);
            continue;
        }
        const bool hasRoom = co_await makeRoom();
        if (hasRoom) {
            startSession(std::move(socket));
        }
    }
}

/// Ends a session when there are too many. Returns whether another one may start.
asio::awaitable<bool> GatewayServer::makeRoom()
{
    if (sessions_.size() < maxSessions_) {
        co_return true;
    }
    if (!closeOldestIdle() && !context_.requestMemory.arriving.makeRoom(ArrivingRequests::Shortage::Descriptors)) {
        co_return false;
    }
    asio::steady_timer pause(context_.io);
    for (unsigned polls = 0; sessions_.size() >= maxSessions_ && polls < MaxRoomPolls; ++polls) {
        pause.expires_after(RoomPollInterval);
        co_await pause.async_wait(UseResult);
    }
    co_return sessions_.size() < maxSessions_;
}

/// An exception, such as one for lack of memory, ends only this session. Otherwise no further connection would be accepted.
void GatewayServer::startSession(asio::ip::tcp::socket socket)
{
    try {
        auto session = std::make_shared<GatewaySession>(context_, *this, std::move(socket));
        sessions_.emplace(session.get(), session);
        asio::co_spawn(context_.io, session->run(), asio::detached);
    } catch (const std::exception &error) {
        logLine(LogLevel::Error, "cannot serve a connection", {{"error", error.what()}});
    }
}

/// Returns false when there is no idle session.
bool GatewayServer::closeOldestIdle()
{
    GatewaySession *oldest = nullptr;
    for (const auto &[session, owner] : sessions_) {
        if (session->isIdle() && (oldest == nullptr || session->idleSince() < oldest->idleSince())) {
            oldest = session;
        }
    }
    if (oldest != nullptr) {
        oldest->closeIfIdle();
    }
    return oldest != nullptr;
}

void GatewayServer::drain()
{
    context_.drain.start(context_.now());
    for (const auto &[session, owner] : sessions_) {
        if (session->hasServedRequest()) {
            session->closeIfIdle();
        }
    }
}

void GatewayServer::stopAccepting()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

void GatewayServer::cutRequests()
{
    context_.io.stop();
    for (const auto &[session, owner] : sessions_) {
        session->logCutRequest();
    }
}

bool GatewayServer::stopIfIdle()
{
    const bool isBusy = std::any_of(sessions_.begin(), sessions_.end(), [](const auto &entry) { return entry.first->isBusy(); });
    if (!isBusy) {
        context_.io.stop();
    }
    return !isBusy;
}

void GatewayServer::remove(GatewaySession &session)
{
    sessions_.erase(&session);
}

}
