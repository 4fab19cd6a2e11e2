#include "tests/support/test_sockets.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace carawaypoint
{

namespace
{

int openSocket()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval guard{20, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &guard, sizeof(guard));
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &guard, sizeof(guard));
    return socket;
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Binds to a port chosen by the system and returns it.
std::uint16_t bindToFreePort(int socket)
{
    auto address = loopback(0);
    socklen_t size = sizeof(address);
    EXPECT_EQ(0, ::bind(socket, reinterpret_cast<sockaddr *>(&address), size));
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

}

std::string TestMessage::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

int TestMessage::status() const
{
    return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0;
}

TestConnection::TestConnection(int socket)
    : socket_(socket)
{
}

TestConnection TestConnection::open(const Endpoint &server)
{
    TestConnection connection(openSocket());
    auto address = loopback(server.port);
    if (::connect(connection.socket_, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        connection.close();
    }
    return connection;
}

TestConnection::TestConnection(TestConnection &&other) noexcept
    : socket_(std::exchange(other.socket_, -1))
    , input_(std::move(other.input_))
{
}

TestConnection::~TestConnection()
{
    close();
}

void TestConnection::close()
{
    if (socket_ >= 0) {
        ::close(std::exchange(socket_, -1));
    }
}

bool TestConnection::write(std::string_view data) const
{
    while (!data.empty()) {
        const auto size = ::send(socket_, data.data(), data.size(), MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        data.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

bool TestConnection::receiveMore()
{
    char bytes[4096];
    const auto size = ::recv(socket_, bytes, sizeof(bytes), 0);
    if (size <= 0) {
        return false;
    }
    input_.append(bytes, static_cast<std::size_t>(size));
    return true;
}

bool TestConnection::readUntil(std::string_view text)
{
    while (input_.find(text) == std::string::npos) {
        if (!receiveMore()) {
            return false;
        }
    }
    return true;
}

bool TestConnection::isClosedByPeer() const
{
    char byte = 0;
    return ::recv(socket_, &byte, 1, MSG_PEEK) <= 0;
}

std::optional<TestMessage> TestConnection::read()
{
    if (!readUntil("\r\n\r\n")) {
        return std::nullopt;
    }
    TestMessage message;
    auto head = input_.substr(0, input_.find("\r\n\r\n") + 2);
    input_.erase(0, head.size() + 2);
    message.startLine = head.substr(0, head.find("\r\n"));
    for (auto start = head.find("\r\n") + 2; start < head.size(); start = head.find("\r\n", start) + 2) {
        const auto line = head.substr(start, head.find("\r\n", start) - start);
        auto name = line.substr(0, line.find(':'));
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return std::tolower(letter); });
        message.headers[name] = line.substr(line.find(':') + 2);
    }
    if (message.header("transfer-encoding") == "chunked") {
        while (readUntil("\r\n")) {
            const auto size = std::stoul(input_, nullptr, 16);
            const auto begin = input_.find("\r\n") + 2;
            while (input_.size() < begin + size + 2) {
                if (!receiveMore()) {
                    message.body += input_.substr(begin);
                    return message;
                }
            }
            message.body += input_.substr(begin, size);
            input_.erase(0, begin + size + 2);
            if (size == 0) {
                message.isComplete = true;
                break;
            }
        }
        return message;
    }
    const auto size = static_cast<std::size_t>(std::atol(message.header("content-length").c_str()));
    while (input_.size() < size && receiveMore()) {
    }
    message.isComplete = input_.size() >= size;
    message.body = input_.substr(0, size);
    input_.erase(0, size);
    return message;
}

FakeServer::FakeServer(Handler handler)
    : handler_(std::move(handler))
    , listener_(openSocket())
{
    endpoint_ = {"127.0.0.1", bindToFreePort(listener_)};
    ::listen(listener_, 64);
    acceptor_ = std::thread([this] { accept(); });
}

void FakeServer::stopListening()
{
    if (isListening_.exchange(false)) {
        ::shutdown(listener_, SHUT_RDWR);
    }
}

FakeServer::~FakeServer()
{
    stopListening();
    acceptor_.join();
    ::close(listener_);
    {
        const std::lock_guard lock(mutex_);
        for (const int socket : sockets_) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    for (auto &thread : threads_) {
        thread.join();
    }
}

void FakeServer::accept()
{
    while (true) {
        const int socket = ::accept(listener_, nullptr, nullptr);
        if (socket < 0) {
            if (errno == EAGAIN || errno == EWOULDBLOCK) {
                continue;
            }
            return;
        }
        ++connections_;
        const std::lock_guard lock(mutex_);
        sockets_.push_back(socket);
        threads_.emplace_back([this, socket] { serve(socket); });
    }
}

void FakeServer::serve(int socket)
{
    TestConnection connection(socket);
    for (auto request = connection.read(); request && handler_(*request, connection); request = connection.read()) {
    }
    const std::lock_guard lock(mutex_);
    sockets_.remove(socket);
}

Endpoint unusedEndpoint()
{
    const int socket = openSocket();
    Endpoint endpoint{"127.0.0.1", bindToFreePort(socket)};
    ::close(socket);
    return endpoint;
}

std::string responseText(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool waitFor(const std::function<bool()> &condition)
{
    for (int i = 0; i < 20'000; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
}

}
